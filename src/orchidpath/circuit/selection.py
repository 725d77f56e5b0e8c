"""Chooses a worker for every stage of a decision, in preference order; pure.

Rules (paper, "Circuit breakers and bounded retries"; design page):

- each eligible worker is tried once before any reuse;
- a worker whose circuit or whose failure domain's capacity circuit is open is skipped;
- ring order holds unless a worker is overloaded: one with as many attempts in flight as the bound
  is passed over. The bound is the average of the closed candidates times a factor, and at least
  one attempt above the average, so there always is a candidate below it;
- a probe is granted to a request only when the worker is the next in preference order and an
  untried closed candidate remains for a retry, or when no closed candidate exists. A request
  takes at most one probe unless a stage has no other candidate.
"""

from collections.abc import Sequence

import msgspec

from orchidpath.circuit.worker_circuit import Admission
from orchidpath.wire.messages import Rejection
from orchidpath.wire.records import Stage

DEFAULT_LOAD_BOUND_FACTOR = 1.25
"""A worker may hold this many times the average number of attempts in flight."""

MINIMUM_LOAD_ABOVE_AVERAGE = 1.0
"""A worker may always hold this many attempts more than the average."""


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """A candidate as it was read for this decision."""

    worker_id: str
    admission: Admission
    tried: bool
    in_flight: int
    circuit_wait_seconds: float
    capacity_wait_seconds: float

    @property
    def is_closed(self) -> bool:
        """Whether it may be tried without a probe."""
        return self.admission is Admission.CLOSED and self.capacity_wait_seconds <= 0

    @property
    def is_usable(self) -> bool:
        """Whether it may be tried, as a probe or not."""
        return self.admission is not Admission.BLOCKED and self.capacity_wait_seconds <= 0

    @property
    def owns_probe(self) -> bool:
        """Whether the asking attempt owns its probe and may use it."""
        return self.admission is Admission.PROBE_OWNED and self.capacity_wait_seconds <= 0


class StageCircuits(msgspec.Struct, frozen=True):
    """The candidates of one stage in preference order, best first."""

    stage: Stage
    candidates: tuple[Candidate, ...]


class StageChoice(msgspec.Struct, frozen=True):
    """The candidate chosen for one stage."""

    stage: Stage
    candidate: Candidate


class Selection(msgspec.Struct, frozen=True, kw_only=True):
    """A choice for every stage, or a rejection and the time after which to retry."""

    choices: tuple[StageChoice, ...] = ()
    rejection: Rejection = Rejection.NONE
    retry_after_seconds: float = 0.0


class LoadBound(msgspec.Struct, frozen=True):
    """How many attempts in flight one worker may hold, relative to the average.

    Attributes
    ----------
    factor
        It may hold this many times the average.
    minimum
        It may always hold this many more than the average.
    """

    factor: float = DEFAULT_LOAD_BOUND_FACTOR
    minimum: float = MINIMUM_LOAD_ABOVE_AVERAGE

    def for_average(self, average: float) -> float:
        """Return the bound at an average load."""
        return max(average * self.factor, average + self.minimum)


def select(
    per_stage: Sequence[StageCircuits],
    load_bound_factor: float,
    load_bound_minimum: float = MINIMUM_LOAD_ABOVE_AVERAGE,
) -> Selection:
    """Choose a worker for every stage.

    Parameters
    ----------
    per_stage
        The candidates of each stage.
    load_bound_factor
        A worker may hold this many times the average number of attempts in flight.
    load_bound_minimum
        A worker may always hold this many attempts more than the average.

    Returns
    -------
    Selection
        Choices for all stages, or a rejection when any stage has none.
    """
    load_bound = LoadBound(load_bound_factor, load_bound_minimum)
    may_probe = not any(
        candidate.owns_probe
        for stage_candidates in per_stage
        for candidate in stage_candidates.candidates
    )
    choices: list[StageChoice] = []
    blocked: list[Selection] = []
    for stage_candidates in per_stage:
        candidate = _choose(stage_candidates.candidates, load_bound, may_probe=may_probe)
        if candidate is None:
            blocked.append(_reject(stage_candidates.candidates))
            continue
        may_probe = may_probe and candidate.is_closed
        choices.append(StageChoice(stage_candidates.stage, candidate))
    if blocked:
        # The request can proceed only when every blocked stage can: the longest wait counts.
        return max(blocked, key=lambda rejection: rejection.retry_after_seconds)
    return Selection(choices=tuple(choices))


def _choose(
    candidates: Sequence[Candidate], load_bound: LoadBound, *, may_probe: bool
) -> Candidate | None:
    for candidate in candidates:
        if candidate.owns_probe:
            return candidate
    untried_closed = [entry for entry in candidates if entry.is_closed and not entry.tried]
    if untried_closed:
        return _first_in_order(candidates, untried_closed, load_bound, may_probe)
    closed = [entry for entry in candidates if entry.is_closed]
    if closed:
        return _first_below_bound(closed, load_bound)
    return _first_probe(candidates)


def _first_in_order(
    candidates: Sequence[Candidate],
    untried_closed: Sequence[Candidate],
    load_bound: LoadBound,
    may_probe: bool,
) -> Candidate:
    """Return the first untried candidate; a probe keeps its place, since a retry remains."""
    closed_choice = _first_below_bound(untried_closed, load_bound)
    if not may_probe:
        return closed_choice
    for candidate in candidates:
        if candidate.worker_id == closed_choice.worker_id:
            return closed_choice
        if candidate.is_usable and not candidate.is_closed and not candidate.tried:
            return candidate
    return closed_choice


def _first_below_bound(closed: Sequence[Candidate], load_bound: LoadBound) -> Candidate:
    average = sum(candidate.in_flight for candidate in closed) / len(closed)
    bound = load_bound.for_average(average)
    # The smallest is never above the average, so the bound always leaves one.
    return next(candidate for candidate in closed if candidate.in_flight < bound)


def _first_probe(candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the first worker that may be probed, an untried one before a reuse."""
    usable = [candidate for candidate in candidates if candidate.is_usable]
    untried = [candidate for candidate in usable if not candidate.tried]
    return next(iter(untried or usable), None)


def _reject(candidates: Sequence[Candidate]) -> Selection:
    if not candidates:
        return Selection(rejection=Rejection.EXHAUSTED)
    wait_seconds = min(
        max(candidate.circuit_wait_seconds, candidate.capacity_wait_seconds)
        for candidate in candidates
    )
    blocked_by_capacity = any(
        candidate.admission is not Admission.BLOCKED for candidate in candidates
    )
    rejection = Rejection.SHARED_CAPACITY if blocked_by_capacity else Rejection.CIRCUITS_OPEN
    return Selection(rejection=rejection, retry_after_seconds=wait_seconds)
