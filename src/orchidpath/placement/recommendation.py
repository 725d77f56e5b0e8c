"""Recommends the split of a service's workers into prefill and decode for the observed load.

Prompt tokens load the prefill stage, and output tokens load the decode stage. The recommended split
comes closest to equal utilization of both stages. A change is recommended only if it relieves the
more utilized stage enough, so that a load that varies around a threshold does not make workers
switch back and forth (docs/design/plans.md). This module never changes the split itself.
"""

import math

import msgspec

from orchidpath.common.errors import OrchidpathError


class NoSplitError(OrchidpathError):
    """Raised if a stage has no worker, or if a rate or capacity is out of range."""


class TokenRates(msgspec.Struct, frozen=True, kw_only=True):
    """Token rates of a service: uncached prompt tokens and output tokens per second."""

    prompt_tokens_per_second: float
    output_tokens_per_second: float


class WorkerCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens per second that one worker processes in each stage."""

    prompt_tokens_per_second: float
    output_tokens_per_second: float


class SplitPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Conditions under which a change of the split is recommended.

    ``minimum_gain`` is the share by which the utilization of the more utilized stage must decrease.
    ``half_life_seconds`` is the age at which a measurement has half its weight.
    """

    minimum_gain: float = 0.1
    half_life_seconds: float = 600.0


class Recommendation(msgspec.Struct, frozen=True, kw_only=True):
    """The recommended split; ``change`` is false if it is the current split.

    Utilizations are those of the more utilized stage, with the current and the recommended split.
    A utilization above 1 means that the stage is overloaded.
    """

    prefill_workers: int
    decode_workers: int
    change: bool
    utilization_now: float
    utilization_then: float


class RateAverage:
    """Exponentially weighted moving average of token rates.

    Parameters
    ----------
    half_life_seconds
        Age at which a measurement has half its weight.
    """

    def __init__(self, half_life_seconds: float) -> None:
        self._half_life_seconds = half_life_seconds
        self._rates: TokenRates | None = None
        self._measured_at = 0.0

    def add(self, rates: TokenRates, now: float) -> TokenRates:
        """Add the rates measured since the previous call, and return the new average."""
        if self._rates is None:
            self._rates = rates
        else:
            age_seconds = max(0.0, now - self._measured_at)
            retained_share = 0.5 ** (age_seconds / self._half_life_seconds)
            self._rates = _weighted_average(self._rates, rates, retained_share)
        self._measured_at = now
        return self._rates


def recommend(
    rates: TokenRates,
    capacity: WorkerCapacity,
    prefill_workers: int,
    decode_workers: int,
    policy: SplitPolicy,
) -> Recommendation:
    """Return the recommended split of the current workers for the load.

    Parameters
    ----------
    rates
        Averaged token rates of the service.
    capacity
        Capacity of one worker.
    prefill_workers, decode_workers
        Number of workers in each stage now.
    policy
        Conditions under which a change is recommended.

    Raises
    ------
    NoSplitError
        If a stage has no worker, a capacity is not positive or a rate is negative.
    """
    if min(prefill_workers, decode_workers) < 1:
        raise NoSplitError("each stage needs at least one worker")
    if min(capacity.prompt_tokens_per_second, capacity.output_tokens_per_second) <= 0:
        raise NoSplitError("the capacities of a worker must be above zero")
    if min(rates.prompt_tokens_per_second, rates.output_tokens_per_second) < 0:
        raise NoSplitError("the token rates of a service must not be below zero")
    prompt_load = rates.prompt_tokens_per_second / capacity.prompt_tokens_per_second
    output_load = rates.output_tokens_per_second / capacity.output_tokens_per_second
    total = prefill_workers + decode_workers
    desired = _desired_prefill(prompt_load, output_load, total)
    current_utilization = max(prompt_load / prefill_workers, output_load / decode_workers)
    desired_utilization = max(prompt_load / desired, output_load / (total - desired))
    if desired == prefill_workers or desired_utilization >= current_utilization * (
        1.0 - policy.minimum_gain
    ):
        return Recommendation(
            prefill_workers=prefill_workers,
            decode_workers=decode_workers,
            change=False,
            utilization_now=current_utilization,
            utilization_then=current_utilization,
        )
    return Recommendation(
        prefill_workers=desired,
        decode_workers=total - desired,
        change=True,
        utilization_now=current_utilization,
        utilization_then=desired_utilization,
    )


def _desired_prefill(prompt_load: float, output_load: float, total: int) -> int:
    """Return the number of prefill workers that minimizes the higher of both utilizations."""
    if prompt_load + output_load == 0:
        return total // 2
    balanced = total * prompt_load / (prompt_load + output_load)
    candidates = {
        min(max(number, 1), total - 1) for number in (math.floor(balanced), math.ceil(balanced))
    }
    return min(
        sorted(candidates),
        key=lambda number: max(prompt_load / number, output_load / (total - number)),
    )


def _weighted_average(old: TokenRates, new: TokenRates, retained_share: float) -> TokenRates:
    return TokenRates(
        prompt_tokens_per_second=retained_share * old.prompt_tokens_per_second
        + (1.0 - retained_share) * new.prompt_tokens_per_second,
        output_tokens_per_second=retained_share * old.output_tokens_per_second
        + (1.0 - retained_share) * new.output_tokens_per_second,
    )
