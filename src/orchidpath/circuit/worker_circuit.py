"""Circuit of one worker with its timer and its count of transient failures.

The agreed record holds the status of the circuit. This module evaluates the record at a given
time: whether the worker may be tried, and which event the outcome of an attempt causes. Both the
leader's circuit table and the routers' fallback use it.
"""

import random
from enum import Enum
from types import MappingProxyType

import msgspec

from orchidpath.circuit.breaker import BreakerEvent, propose
from orchidpath.circuit.timed_record import TimedRecord
from orchidpath.circuit.transitions import CircuitTransition, initial_circuit
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import AttemptEffect
from orchidpath.wire.records import CircuitRecord, CircuitStatus

PROBE_FAILURE_EVENTS = MappingProxyType(
    {
        AttemptEffect.TRANSIENT: BreakerEvent.PROBE_FAILED,
        AttemptEffect.CONFIGURATION: BreakerEvent.PROBE_MISCONFIGURED,
    }
)
"""Event that a failed probe causes; any effect other than these and a success returns the probe."""


class Admission(Enum):
    """Whether and how an attempt may use a worker."""

    CLOSED = "closed"
    PROBE_OWNED = "probe_owned"
    """The requesting attempt owns the probe."""
    PROBE_READY = "probe_ready"
    """The cooldown or the last granted probe has expired, so a probe may be granted."""
    BLOCKED = "blocked"


class AttemptOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an attempt on one worker, with the data of its start that is available.

    ``started_generation`` is the circuit's generation when the attempt was registered, or None
    when the generation is unknown. ``charged_before`` is True when a transient failure of the same
    request has already been counted on this worker.
    """

    attempt_id: str
    effect: AttemptEffect
    probe_generation: int | None = None
    started_generation: int | None = None
    charged_before: bool = False


class WorkerCircuit(TimedRecord[CircuitRecord]):
    """Circuit of a worker as tracked by one process, the leader or a router.

    Parameters
    ----------
    worker_id
        The worker.
    incarnation
        The worker's process; empty while it is unknown.
    """

    __slots__ = ("incarnation", "transient_failures")

    def __init__(self, worker_id: str, incarnation: str = "") -> None:
        super().__init__(initial_circuit(worker_id, incarnation), 0.0)
        self.incarnation = incarnation
        self.transient_failures = 0

    def replace(self, record: CircuitRecord, now: float) -> None:
        """Apply a record regardless of its generation, and start its timer.

        Parameters
        ----------
        record
            The record.
        now
            Monotonic time in seconds at which the record's duration starts.
        """
        super().replace(self._for_current_process(record), now)
        self.transient_failures = 0

    def set_incarnation(self, incarnation: str) -> bool:
        """Set the worker's process; a new process starts with a closed circuit.

        The generation is retained, because the next transition of the agreed record is compared
        with it.

        Parameters
        ----------
        incarnation
            The worker's process.

        Returns
        -------
        bool
            True when the new process replaces a different one.
        """
        replaced = self.incarnation not in {"", incarnation}
        self.incarnation = incarnation
        if replaced:
            self.transient_failures = 0
        self.record = self._for_current_process(self.record)
        return replaced

    def admission(self, attempt_id: str, now: float) -> Admission:
        """Return whether and how an attempt may use the worker.

        Parameters
        ----------
        attempt_id
            The requesting attempt.
        now
            Monotonic time in seconds.

        Returns
        -------
        Admission
            ``CLOSED`` when no probe is needed, otherwise the state of the probe.
        """
        if self.record.status is CircuitStatus.AVAILABLE:
            return Admission.CLOSED
        if now >= self.expires_at:
            return Admission.PROBE_READY
        if self.owns_probe(attempt_id):
            return Admission.PROBE_OWNED
        return Admission.BLOCKED

    def owns_probe(self, attempt_id: str) -> bool:
        """Return whether the half-open circuit's probe was granted to this attempt.

        Parameters
        ----------
        attempt_id
            The attempt.

        Returns
        -------
        bool
            Remains True after the probe has expired, until another attempt is granted a probe.
        """
        is_half_open = self.record.status is CircuitStatus.HALF_OPEN
        return is_half_open and self.record.probe_owner == attempt_id

    def wait_seconds(self, now: float) -> float:
        """Return the time until the worker may be tried.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds; 0 when it may be tried now.
        """
        if self.record.status is CircuitStatus.AVAILABLE:
            return 0.0
        return self.remaining_seconds(now)

    def status(self, now: float) -> CircuitStatus:
        """Return the status shown to operators.

        A cooldown or quarantine that has expired is shown as half-open.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        CircuitStatus
            The status.
        """
        is_open = self.record.status in {CircuitStatus.COOLDOWN, CircuitStatus.QUARANTINED}
        if is_open and now >= self.expires_at:
            return CircuitStatus.HALF_OPEN
        return self.record.status

    def remaining(self, now: float) -> CircuitRecord:
        """Return the record with its remaining duration.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        CircuitRecord
            The record to push to the routers.
        """
        return msgspec.structs.replace(self.record, duration_seconds=self.wait_seconds(now))

    def record_outcome(
        self, outcome: AttemptOutcome, allowed_fails: int, now: float
    ) -> BreakerEvent | None:
        """Record the outcome of an attempt and return the event that it causes.

        Parameters
        ----------
        outcome
            The outcome of the attempt.
        allowed_fails
            Number of transient failures that opens the circuit.
        now
            Monotonic time in seconds.

        Returns
        -------
        BreakerEvent | None
            None when the outcome causes no transition.
        """
        if self.record.status is CircuitStatus.AVAILABLE:
            return self._record_while_closed(outcome, allowed_fails)
        if self._is_current_probe(outcome):
            return self._probe_event(outcome, now)
        # This is a late outcome of an attempt that started before the circuit opened. It never
        # extends the opening, and only the probe may end the opening.
        return None

    def propose(
        self,
        event: BreakerEvent,
        policy: CircuitPolicy,
        generator: random.Random,
        attempt_id: str = "",
    ) -> CircuitTransition | None:
        """Return the transition that an event causes for the worker's current process.

        Parameters
        ----------
        event
            The event.
        policy
            Durations of cooldowns, quarantines and probes.
        generator
            Random source of the jitter.
        attempt_id
            The attempt that receives the probe when the event grants one.

        Returns
        -------
        CircuitTransition | None
            The proposal; None when the event causes no transition in the current status.
        """
        transition = propose(
            self.record, event, policy=policy, generator=generator, attempt_id=attempt_id
        )
        if transition is None:
            return None
        return msgspec.structs.replace(transition, incarnation=self.incarnation)

    def _record_while_closed(
        self, outcome: AttemptOutcome, allowed_fails: int
    ) -> BreakerEvent | None:
        if outcome.effect is AttemptEffect.SUCCESS:
            self.transient_failures = 0
            return None
        # The attempt started on an earlier generation, so its failure is late: an earlier
        # transition has already handled the fault that it belongs to.
        if outcome.started_generation not in {None, self.record.generation}:
            return None
        if outcome.effect is AttemptEffect.CONFIGURATION:
            return BreakerEvent.MISCONFIGURED
        if outcome.effect is not AttemptEffect.TRANSIENT or outcome.charged_before:
            return None
        self.transient_failures += 1
        if self.transient_failures < allowed_fails:
            return None
        return BreakerEvent.FAILURES_REACHED

    def _is_current_probe(self, outcome: AttemptOutcome) -> bool:
        is_fenced = outcome.probe_generation == self.record.generation
        return is_fenced and self.owns_probe(outcome.attempt_id)

    def _probe_event(self, outcome: AttemptOutcome, now: float) -> BreakerEvent | None:
        # A probe that succeeds after its time has expired still proves that the worker works, as
        # long as no other attempt has been granted a probe: a long stream may take that long.
        if outcome.effect is AttemptEffect.SUCCESS:
            return BreakerEvent.PROBE_SUCCEEDED
        if now >= self.expires_at:
            return None
        return PROBE_FAILURE_EVENTS.get(outcome.effect, BreakerEvent.PROBE_RETURNED)

    def _for_current_process(self, record: CircuitRecord) -> CircuitRecord:
        """Return the record, or a closed circuit if the record is of an earlier process."""
        is_of_other_process = record.incarnation not in {"", self.incarnation}
        if not self.incarnation or not is_of_other_process:
            return record
        return msgspec.structs.replace(
            initial_circuit(record.worker_id, self.incarnation), generation=record.generation
        )
