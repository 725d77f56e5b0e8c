"""One worker's circuit with its timer and its count of transient failures.

The agreed record says what the circuit is; this module says what that means at a given time: may
the worker be tried, and which event does the outcome of an attempt cause. The leader's table and
the routers' fallback both judge here.
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
"""What a probe's failure does to its circuit; any other effect but a success returns the probe."""


class Admission(Enum):
    """Whether a worker may be tried."""

    CLOSED = "closed"
    PROBE_OWNED = "probe_owned"
    """The asking attempt owns the probe."""
    PROBE_READY = "probe_ready"
    """The cooldown, or another attempt's probe, has run out: a probe may be granted."""
    BLOCKED = "blocked"


class AttemptOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended, with what is known of its start.

    ``started_generation`` is the circuit's generation when the attempt was registered, None when
    that isn't known. ``charged_before`` says that the same request has already been charged with
    a transient failure on this worker.
    """

    attempt_id: str
    effect: AttemptEffect
    probe_generation: int | None = None
    started_generation: int | None = None
    charged_before: bool = False


class WorkerCircuit(TimedRecord[CircuitRecord]):
    """A circuit as one process knows it.

    Parameters
    ----------
    worker_id
        The worker.
    incarnation
        Its process, empty when not known yet.
    """

    __slots__ = ("incarnation", "transient_failures")

    def __init__(self, worker_id: str, incarnation: str = "") -> None:
        super().__init__(initial_circuit(worker_id, incarnation), 0.0)
        self.incarnation = incarnation
        self.transient_failures = 0

    def replace(self, record: CircuitRecord, now: float) -> None:
        """Apply a record whatever its generation is, and start its timer.

        Parameters
        ----------
        record
            The record.
        now
            Monotonic time in seconds, from which its duration counts.
        """
        super().replace(self._for_current_process(record), now)
        self.transient_failures = 0

    def set_incarnation(self, incarnation: str) -> bool:
        """Set the worker's process; a new one starts with a closed circuit.

        The generation stays, because the agreed record's next transition is compared with it.

        Parameters
        ----------
        incarnation
            The worker's process.

        Returns
        -------
        bool
            Whether a process known before has been replaced.
        """
        replaced = self.incarnation not in {"", incarnation}
        self.incarnation = incarnation
        if replaced:
            self.transient_failures = 0
        self.record = self._for_current_process(self.record)
        return replaced

    def admission(self, attempt_id: str, now: float) -> Admission:
        """Return whether this attempt may try the worker.

        Parameters
        ----------
        attempt_id
            The asking attempt.
        now
            Monotonic time in seconds.

        Returns
        -------
        Admission
            The answer.
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
            True also after the probe's time has run out, until another attempt is granted one.
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
        """Return the status that operators see: a cooldown that has passed is half-open.

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
        """Return the record with the duration that is left of it.

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

    def judge(self, outcome: AttemptOutcome, allowed_fails: int, now: float) -> BreakerEvent | None:
        """Count an outcome and return the event that it causes.

        Parameters
        ----------
        outcome
            How an attempt ended.
        allowed_fails
            The number of transient failures that opens the circuit.
        now
            Monotonic time in seconds.

        Returns
        -------
        BreakerEvent | None
            None when the circuit stays as it is.
        """
        if self.record.status is CircuitStatus.AVAILABLE:
            return self._judge_closed(outcome, allowed_fails)
        if self._is_current_probe(outcome):
            return self._judge_probe(outcome, now)
        # A late outcome of an attempt started before the circuit opened: it never extends the
        # opening, and only the probe may end it.
        return None

    def propose(
        self,
        event: BreakerEvent,
        policy: CircuitPolicy,
        generator: random.Random,
        attempt_id: str = "",
    ) -> CircuitTransition | None:
        """Propose the transition that an event causes, for the worker's current process.

        Parameters
        ----------
        event
            What happened.
        policy
            Durations.
        generator
            Source of the jitter.
        attempt_id
            The attempt that is granted the probe.

        Returns
        -------
        CircuitTransition | None
            The proposal; None when the event changes nothing in this status.
        """
        transition = propose(
            self.record, event, policy=policy, generator=generator, attempt_id=attempt_id
        )
        if transition is None:
            return None
        return msgspec.structs.replace(transition, incarnation=self.incarnation)

    def _judge_closed(self, outcome: AttemptOutcome, allowed_fails: int) -> BreakerEvent | None:
        if outcome.effect is AttemptEffect.SUCCESS:
            self.transient_failures = 0
            return None
        # A failure of an attempt started on an earlier generation is late: it belongs to a
        # failure that an earlier transition has already answered.
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

    def _judge_probe(self, outcome: AttemptOutcome, now: float) -> BreakerEvent | None:
        # A probe that outlives its time and then succeeds still proves that the worker works, as
        # long as nobody else has been granted one: a long stream may take that long.
        if outcome.effect is AttemptEffect.SUCCESS:
            return BreakerEvent.PROBE_SUCCEEDED
        if now >= self.expires_at:
            return None
        return PROBE_FAILURE_EVENTS.get(outcome.effect, BreakerEvent.PROBE_RETURNED)

    def _for_current_process(self, record: CircuitRecord) -> CircuitRecord:
        """Return the record as it holds for the worker's current process."""
        is_of_other_process = record.incarnation not in {"", self.incarnation}
        if not self.incarnation or not is_of_other_process:
            return record
        return msgspec.structs.replace(
            initial_circuit(record.worker_id, self.incarnation), generation=record.generation
        )
