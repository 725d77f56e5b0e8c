"""Registry of attempt ids: an attempt runs at most once, and a refused attempt never runs.

A back end that answers ``ran=no`` guarantees that the attempt did not run and never will
(:mod:`orchidpath.wire.backend`). The registry upholds that guarantee within bounded memory: an
attempt id is retained for at least ``retention_seconds``, which is far longer than the lifetime of
any request. When the registry is full of ids younger than that, new attempts are refused *without*
the guarantee: the registry has no entry in which to record it.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from orchidpath.wire.backend import Ran

RETENTION_SECONDS = 900.0
"""Minimum retention of an attempt id; many times the longest request deadline."""

MAX_ATTEMPTS = 200_000
"""Maximum number of retained attempt ids."""

MAX_REPEATED_REQUESTS = 100
"""Maximum number of request ids listed as executed more than once."""


class Phase(StrEnum):
    """Work that an attempt does on a back end.

    Only EXECUTION must happen at most once per request.
    """

    PREFILL_DONE = "prompt_read"
    EXECUTION = "execution"


class PhaseState(StrEnum):
    """Progress of one phase of an attempt on this back end."""

    PENDING = "pending"
    RUNNING = "running"
    FINISHED = "finished"


class Admission(StrEnum):
    """Result of an attempt's admission."""

    ADMITTED = "admitted"
    REFUSED_BEFORE = "refused_before"
    DUPLICATE = "duplicate"
    FULL = "full"


@dataclass(slots=True)
class AttemptEntry:
    """Registry entry of one attempt id."""

    request_id: str
    updated_at: float
    refused: bool = False
    phases: dict[Phase, PhaseState] = field(default_factory=dict)

    def has_run(self) -> bool:
        """Return whether any phase has started to run."""
        return any(state is not PhaseState.PENDING for state in self.phases.values())

    def is_active(self) -> bool:
        """Return whether any phase is pending or running."""
        return any(state is not PhaseState.FINISHED for state in self.phases.values())


class ExecutionCounter:
    """Counts executions per request id, for the at-most-once checks.

    Parameters
    ----------
    max_requests : int
        Maximum number of retained request ids. The id that has gone longest without an execution
        is evicted first.
    """

    def __init__(self, max_requests: int = MAX_ATTEMPTS) -> None:
        self._max_requests = max_requests
        self._counts: OrderedDict[str, int] = OrderedDict()
        self.total = 0
        self.highest = 0
        self.repeated: list[str] = []

    def add(self, request_id: str) -> int:
        """Count one execution and return the number of executions of the request."""
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
        """Return the number of executions of a request on this back end."""
        return self._counts.get(request_id, 0)


class AttemptRegistry:
    """The attempt ids that a back end has received, with the state of their phases.

    Parameters
    ----------
    max_attempts : int
        Maximum number of retained ids.
    retention_seconds : float
        Minimum time for which an id is retained after its last event.
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
        """Admit one phase of an attempt, unless it was received or refused before.

        Parameters
        ----------
        request_id, attempt_id : str
            Ids of the request and of the attempt.
        phase : Phase
            The phase to run.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Admission
            After ADMITTED the phase is pending until :meth:`start`, :meth:`refuse` or
            :meth:`finish`.
        """
        entry = self._entries.get(attempt_id)
        if entry is None:
            entry = self._insert(request_id, attempt_id, now)
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
        """Start a pending phase; return False if the attempt was cancelled after its admission.

        The execution is counted here, before any work, so that no execution goes uncounted.
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
        """Record the end of a phase.

        A phase that is still pending never ran; the attempt is then marked as refused.
        """
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
        """Refuse a pending phase permanently and return whether it has run."""
        entry = self._entries.get(attempt_id)
        if entry is None:
            return Ran.UNKNOWN
        if entry.phases.get(phase, PhaseState.PENDING) is not PhaseState.PENDING:
            return Ran.YES
        entry.refused = True
        self._touch(attempt_id, entry, now)
        return Ran.NO

    def cancel(self, attempt_id: str, now: float) -> Ran:
        """Cancel an attempt, known or not; none of its phases can start afterwards.

        Returns
        -------
        Ran
            NO guarantees that no phase has run or will run. YES means that a phase has started.
            UNKNOWN means that the registry is full, so the cancellation could not be recorded.
        """
        entry = self._entries.get(attempt_id)
        if entry is None:
            entry = self._insert("", attempt_id, now)
            if entry is None:
                return Ran.UNKNOWN
        entry.refused = True
        self._touch(attempt_id, entry, now)
        return Ran.YES if entry.has_run() else Ran.NO

    def is_cancelled(self, attempt_id: str) -> bool:
        """Return whether the attempt was cancelled or refused, so that it must stop."""
        entry = self._entries.get(attempt_id)
        return entry is not None and entry.refused

    def ran(self, attempt_id: str, phase: Phase) -> Ran:
        """Return whether a phase has run, or UNKNOWN when neither answer can be guaranteed."""
        entry = self._entries.get(attempt_id)
        if entry is None:
            return Ran.UNKNOWN
        state = entry.phases.get(phase)
        if state in (PhaseState.RUNNING, PhaseState.FINISHED):
            return Ran.YES
        return Ran.NO if entry.refused else Ran.UNKNOWN

    def _insert(self, request_id: str, attempt_id: str, now: float) -> AttemptEntry | None:
        if len(self._entries) >= self._max_attempts and not self._evict_oldest(now):
            return None
        entry = AttemptEntry(request_id=request_id, updated_at=now)
        self._entries[attempt_id] = entry
        return entry

    def _evict_oldest(self, now: float) -> bool:
        attempt_id, entry = next(iter(self._entries.items()))
        if now - entry.updated_at < self._retention_seconds:
            return False
        if entry.is_active():
            self._touch(attempt_id, entry, now)
            return False
        del self._entries[attempt_id]
        return True

    def _touch(self, attempt_id: str, entry: AttemptEntry, now: float) -> None:
        entry.updated_at = now
        self._entries.move_to_end(attempt_id)
