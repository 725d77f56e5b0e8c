"""Which split of a service's workers suits the observed load: a recommendation, never an action.

Prefill and decode are each loaded by their own tokens. The recommended split gives both stages the
same utilization; it is recommended only if the busier stage gains enough, so that a load that
swings around a threshold does not make workers switch back and forth (docs/design/plans.md).
"""

import math

import msgspec

from orchidpath.common.errors import OrchidpathError


class NoSplitError(OrchidpathError):
    """There are too few workers for two stages, or a rate or capacity is out of range."""


class TokenRates(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens a second of a service: prompt tokens (without cached ones) and output tokens."""

    prompt_tokens_per_second: float
    output_tokens_per_second: float


class WorkerCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens a second that one worker processes in either stage."""

    prompt_tokens_per_second: float
    output_tokens_per_second: float


class SplitPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """When a split is worth a change.

    ``minimum_gain`` is by how much of its present utilization the busier stage must be relieved.
    ``half_life_seconds`` is the age at which a measurement counts half.
    """

    minimum_gain: float = 0.1
    half_life_seconds: float = 600.0


class Recommendation(msgspec.Struct, frozen=True, kw_only=True):
    """The split to put into the configuration; ``change`` is false if the present one is to stay.

    Utilizations are those of the busier stage; above 1 the split is overloaded.
    """

    prefill_workers: int
    decode_workers: int
    change: bool
    utilization_now: float
    utilization_then: float


class RateAverage:
    """Token rates, averaged so that older measurements count less and less.

    Parameters
    ----------
    half_life_seconds
        Age at which a measurement counts half.
    """

    def __init__(self, half_life_seconds: float) -> None:
        self._half_life_seconds = half_life_seconds
        self._rates: TokenRates | None = None
        self._measured_at = 0.0

    def add(self, rates: TokenRates, now: float) -> TokenRates:
        """Add the rates measured since the last measurement, and return the average."""
        if self._rates is None:
            self._rates = rates
        else:
            age_seconds = max(0.0, now - self._measured_at)
            retained_share = 0.5 ** (age_seconds / self._half_life_seconds)
            self._rates = _mix(self._rates, rates, retained_share)
        self._measured_at = now
        return self._rates


def recommend(
    rates: TokenRates,
    capacity: WorkerCapacity,
    prefill_workers: int,
    decode_workers: int,
    policy: SplitPolicy,
) -> Recommendation:
    """Return the split of the present workers that suits the load.

    Parameters
    ----------
    rates
        Averaged rates.
    capacity
        Capacity of one worker.
    prefill_workers, decode_workers
        The present split.
    policy
        When a change is worth it.

    Raises
    ------
    NoSplitError
        Fewer than two workers, an empty stage, or a capacity that is not positive.
    """
    if min(prefill_workers, decode_workers) < 1:
        raise NoSplitError("each stage needs a worker")
    if min(capacity.prompt_tokens_per_second, capacity.output_tokens_per_second) <= 0:
        raise NoSplitError("capacities must be above zero")
    if min(rates.prompt_tokens_per_second, rates.output_tokens_per_second) < 0:
        raise NoSplitError("rates must not be below zero")
    prompt_load = rates.prompt_tokens_per_second / capacity.prompt_tokens_per_second
    output_load = rates.output_tokens_per_second / capacity.output_tokens_per_second
    total = prefill_workers + decode_workers
    desired = _desired_prefill(prompt_load, output_load, total)
    now_used = max(prompt_load / prefill_workers, output_load / decode_workers)
    then_used = max(prompt_load / desired, output_load / (total - desired))
    if desired == prefill_workers or then_used >= now_used * (1.0 - policy.minimum_gain):
        return Recommendation(
            prefill_workers=prefill_workers,
            decode_workers=decode_workers,
            change=False,
            utilization_now=now_used,
            utilization_then=now_used,
        )
    return Recommendation(
        prefill_workers=desired,
        decode_workers=total - desired,
        change=True,
        utilization_now=now_used,
        utilization_then=then_used,
    )


def _desired_prefill(prompt_load: float, output_load: float, total: int) -> int:
    """Return the number of prefill workers that makes the busier stage least busy."""
    if prompt_load + output_load == 0:
        return total // 2
    even = total * prompt_load / (prompt_load + output_load)
    candidates = {min(max(number, 1), total - 1) for number in (math.floor(even), math.ceil(even))}
    return min(
        sorted(candidates),
        key=lambda number: max(prompt_load / number, output_load / (total - number)),
    )


def _mix(old: TokenRates, new: TokenRates, retained_share: float) -> TokenRates:
    return TokenRates(
        prompt_tokens_per_second=retained_share * old.prompt_tokens_per_second
        + (1.0 - retained_share) * new.prompt_tokens_per_second,
        output_tokens_per_second=retained_share * old.output_tokens_per_second
        + (1.0 - retained_share) * new.output_tokens_per_second,
    )
