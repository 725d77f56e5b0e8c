"""Registry of attempt ids: each runs at most once, and a refused one never runs.

A back end that says ``ran=no`` guarantees that the attempt did not run and never will
(:mod:`orchidpath.wire.backend`). The registry keeps that guarantee within bounded memory: an
attempt id is remembered for at least ``retention_seconds``, which is far longer than any request
may live. When the memory is full of younger ids, new attempts are turned away *without* the
guarantee, because a guarantee that will be forgotten must not be given.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from orchidpath.wire.backend import Ran

RETENTION_SECONDS = 900.0
"""Many times the longest deadline of a request."""

MAX_ATTEMPTS = 200_000
"""Bound on remembered attempt ids."""

MAX_REPEATED_REQUESTS = 100
"""Bound on the request ids listed as executed more than once."""


class Phase(StrEnum):
    """What an attempt does on a back end; only EXECUTION must happen at most once per request."""

    PREFILL_DONE = "prompt_read"
    EXECUTION = "execution"


class PhaseState(StrEnum):
    """How far a phase of an attempt has come on this back end."""

    PENDING = "pending"
    RUNNING = "running"
    FINISHED = "finished"


class Admission(StrEnum):
    """Answer to an attempt that asks to be taken in."""

    ADMITTED = "admitted"
    REFUSED_BEFORE = "refused_before"
    DUPLICATE = "duplicate"
    FULL = "full"


@dataclass(slots=True)
class AttemptEntry:
    """What is remembered of one attempt id."""

    request_id: str
    touched_at: float
    refused: bool = False
    phases: dict[Phase, PhaseState] = field(default_factory=dict)

    def has_run(self) -> bool:
        """Tell whether any phase has started to run."""
        return any(state is not PhaseState.PENDING for state in self.phases.values())

    def is_active(self) -> bool:
        """Tell whether any phase is not finished yet."""
        return any(state is not PhaseState.FINISHED for state in self.phases.values())


class ExecutionCounter:
    """Counts executions per request id, for the at-most-once checks.

    Parameters
    ----------
    max_requests : int
        Bound on remembered request ids; the oldest is forgotten first.
    """

    def __init__(self, max_requests: int = MAX_ATTEMPTS) -> None:
        self._max_requests = max_requests
        self._counts: OrderedDict[str, int] = OrderedDict()
        self.total = 0
        self.highest = 0
        self.repeated: list[str] = []

    def add(self, request_id: str) -> int:
        """Count one execution and return the request's count."""
        count = self._counts.pop(request_id, 0) + 1
        self._counts[request_id] = count
        self.total += 1
        self.highest = max(self.highest, count)
        if count == 2 and len(self.repeated) < MAX_REPEATED_REQUESTS:
            self.repeated.append(request_id)
        if len(self._counts) > self._max_requests:
            self._counts.popitem(last=False)
        return count

    def count(self, request_id: str) -> int:
        """Return how often a request was executed here."""
        return self._counts.get(request_id, 0)


class AttemptRegistry:
    """Every attempt id that a back end has seen, and what became of it.

    Parameters
    ----------
    max_attempts : int
        Bound on remembered ids.
    retention_seconds : float
        An id is remembered for at least this long after its last event.
    """

    def __init__(
        self, max_attempts: int = MAX_ATTEMPTS, retention_seconds: float = RETENTION_SECONDS
    ) -> None:
        self._max_attempts = max_attempts
        self._retention_seconds = retention_seconds
        self._entries: OrderedDict[str, AttemptEntry] = OrderedDict()
        self.executions = ExecutionCounter(max_attempts)
        self.prefills = ExecutionCounter(max_attempts)

    def __len__(self) -> int:
        return len(self._entries)

    def admit(self, request_id: str, attempt_id: str, phase: Phase, now: float) -> Admission:
        """Take in one phase of an attempt, unless it was seen or refused before.

        Parameters
        ----------
        request_id, attempt_id : str
            Who asks.
        phase : Phase
            What it asks to run.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Admission
            ADMITTED leaves the phase pending until :meth:`start` or :meth:`refuse`.
        """
        entry = self._entries.get(attempt_id)
        if entry is None:
            entry = self._remember(request_id, attempt_id, now)
            if entry is None:
                return Admission.FULL
        if entry.refused:
            return Admission.REFUSED_BEFORE
        if phase in entry.phases or entry.request_id != request_id:
            return Admission.DUPLICATE
        entry.phases[phase] = PhaseState.PENDING
        self._touch(attempt_id, entry, now)
        return Admission.ADMITTED

    def start(self, attempt_id: str, phase: Phase, now: float) -> bool:
        """Let a pending phase run; false when the attempt was cancelled meanwhile.

        The execution is counted here, before any work, so a count can never miss a run.
        """
        entry = self._entries.get(attempt_id)
        if entry is None or entry.refused:
            return False
        if entry.phases.get(phase) is not PhaseState.PENDING:
            return False
        entry.phases[phase] = PhaseState.RUNNING
        self._touch(attempt_id, entry, now)
        counter = self.executions if phase is Phase.EXECUTION else self.prefills
        counter.add(entry.request_id)
        return True

    def finish(self, attempt_id: str, phase: Phase, now: float) -> None:
        """Record that a phase is over, whether it ran or was turned away."""
        entry = self._entries.get(attempt_id)
        if entry is None or phase not in entry.phases:
            return
        if entry.phases[phase] is PhaseState.PENDING:
            del entry.phases[phase]
            entry.refused = True
        else:
            entry.phases[phase] = PhaseState.FINISHED
        self._touch(attempt_id, entry, now)

    def refuse(self, attempt_id: str, phase: Phase, now: float) -> Ran:
        """Refuse a pending phase for ever and return what may be said about it."""
        entry = self._entries.get(attempt_id)
        if entry is None:
            return Ran.UNKNOWN
        if entry.phases.get(phase, PhaseState.PENDING) is not PhaseState.PENDING:
            return Ran.YES
        entry.refused = True
        self._touch(attempt_id, entry, now)
        return Ran.NO

    def cancel(self, attempt_id: str, now: float) -> Ran:
        """Cancel an attempt, also one that was never seen; it will not start after this.

        Returns
        -------
        Ran
            NO is the guarantee; YES when a phase has started; UNKNOWN when nothing more can be
            remembered.
        """
        entry = self._entries.get(attempt_id)
        if entry is None:
            entry = self._remember("", attempt_id, now)
            if entry is None:
                return Ran.UNKNOWN
        entry.refused = True
        self._touch(attempt_id, entry, now)
        return Ran.YES if entry.has_run() else Ran.NO

    def is_cancelled(self, attempt_id: str) -> bool:
        """Tell whether a running attempt should stop."""
        entry = self._entries.get(attempt_id)
        return entry is not None and entry.refused

    def ran(self, attempt_id: str, phase: Phase) -> Ran:
        """Say honestly whether a phase of a known attempt has run."""
        entry = self._entries.get(attempt_id)
        if entry is None:
            return Ran.UNKNOWN
        state = entry.phases.get(phase)
        if state in (PhaseState.RUNNING, PhaseState.FINISHED):
            return Ran.YES
        return Ran.NO if entry.refused else Ran.UNKNOWN

    def _remember(self, request_id: str, attempt_id: str, now: float) -> AttemptEntry | None:
        if len(self._entries) >= self._max_attempts and not self._forget_oldest(now):
            return None
        entry = AttemptEntry(request_id=request_id, touched_at=now)
        self._entries[attempt_id] = entry
        return entry

    def _forget_oldest(self, now: float) -> bool:
        attempt_id, entry = next(iter(self._entries.items()))
        if now - entry.touched_at < self._retention_seconds:
            return False
        if entry.is_active():
            self._touch(attempt_id, entry, now)
            return False
        del self._entries[attempt_id]
        return True

    def _touch(self, attempt_id: str, entry: AttemptEntry, now: float) -> None:
        entry.touched_at = now
        self._entries.move_to_end(attempt_id)
