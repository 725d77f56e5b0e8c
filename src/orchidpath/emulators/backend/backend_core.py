"""Decisions that every emulated back end makes: what it takes in, refuses and applies.

Overload is answered with a refusal that guarantees ``ran=no``; workers send neither a throttle nor
a retry-after (design page, "Workers send neither").
"""

import msgspec

from orchidpath.emulators.backend.attempts import Admission, AttemptRegistry, Phase
from orchidpath.emulators.backend.command_fence import CommandFence
from orchidpath.emulators.backend.reports import BackendCounts, BackendReport, ExecutionLog
from orchidpath.emulators.worker.engine_model import InFlightLimit
from orchidpath.wire.backend import (
    CancelReply,
    ErrorBody,
    ErrorCode,
    Ran,
    WorkerCommand,
    WorkerCommandKind,
    WorkerCommandReply,
)
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus


class AttemptDispatch(msgspec.Struct, frozen=True, kw_only=True):
    """The part of any dispatch that admission looks at."""

    request_id: str
    attempt_id: str
    phase: Phase
    stage: Stage
    model: str = ""


class BackendCore:
    """State and decisions of one incarnation of a back end.

    Parameters
    ----------
    record : WorkerRecord
        How the back end announces itself at its start.
    max_in_flight : int
        Attempts worked on at once.
    """

    def __init__(self, record: WorkerRecord, max_in_flight: int) -> None:
        self._record = record
        self._draining = False
        self._terminating = False
        self.attempts = AttemptRegistry()
        self.fence = CommandFence()
        self.limit = InFlightLimit(max_in_flight)
        self.counts = BackendCounts()
        self.log = ExecutionLog(record.worker_id, record.incarnation)

    @property
    def record(self) -> WorkerRecord:
        """The back end as it announces itself now."""
        status = WorkerStatus.DRAINING if self.draining else WorkerStatus.READY
        return msgspec.structs.replace(self._record, status=status)

    @property
    def draining(self) -> bool:
        """Whether new attempts are refused."""
        return self._draining or self._terminating

    def set_url(self, url: str) -> None:
        """Set the base address once the listening port is known."""
        self._record = msgspec.structs.replace(self._record, url=url)

    def drain(self) -> None:
        """Refuse new attempts from now on."""
        self._draining = True

    def resume(self) -> None:
        """Take new attempts again, unless the process is ending."""
        self._draining = False

    def terminate(self) -> None:
        """Refuse new attempts until the process ends; no order undoes this."""
        self._terminating = True

    def admit(
        self, command: AttemptDispatch, now: float, refuse_all: bool = False
    ) -> ErrorBody | None:
        """Take in an attempt, or return why not.

        The attempt id is claimed before anything else is looked at, so that a refusal for another
        reason is remembered with the id.

        Parameters
        ----------
        order : AttemptDispatch
            What is ordered.
        now : float
            Monotonic time in seconds.
        refuse_all : bool
            Whether an injected fault refuses everything.

        Returns
        -------
        ErrorBody or None
            None when the attempt holds a place, to be given back by :meth:`leave`.
        """
        admission = self.attempts.admit(command.request_id, command.attempt_id, command.phase, now)
        if admission is not Admission.ADMITTED:
            return self._turn_away(command, admission)
        objection = self._objection(command, refuse_all)
        if objection is not None:
            return self.refuse(command, objection, "not taken in", now)
        return None

    def start(self, command: AttemptDispatch, now: float) -> bool:
        """Let an admitted attempt run; false when it was cancelled meanwhile."""
        return self.attempts.start(command.attempt_id, command.phase, now)

    def leave(self, command: AttemptDispatch, now: float) -> None:
        """Give back the place of an admitted attempt."""
        self.attempts.finish(command.attempt_id, command.phase, now)
        self.limit.leave()

    def refuse(
        self, command: AttemptDispatch, code: ErrorCode, message: str, now: float
    ) -> ErrorBody:
        """Refuse an attempt that did not start, and guarantee that it never will."""
        ran = self.attempts.refuse(command.attempt_id, command.phase, now)
        return self.error(command, code, message, ran)

    def error(self, command: AttemptDispatch, code: ErrorCode, message: str, ran: Ran) -> ErrorBody:
        """Make the body of a refusal and count it."""
        self.counts.refused += 1
        return ErrorBody(
            code=code,
            message=f"{self._record.worker_id}: {message}",
            ran=ran,
            request_id=command.request_id,
            attempt_id=command.attempt_id,
        )

    def cancel(self, attempt_id: str, now: float) -> CancelReply:
        """Cancel an attempt; one that has not started never will."""
        self.counts.cancelled += 1
        return CancelReply(
            attempt_id=attempt_id,
            ran=self.attempts.cancel(attempt_id, now),
            incarnation=self._record.incarnation,
        )

    def execute(self, command: WorkerCommand, handles_outstanding: int) -> WorkerCommandReply:
        """Apply a fenced order, or say why not.

        Parameters
        ----------
        order : WorkerCommand
            The order.
        handles_outstanding : int
            KV caches still held for a KV transfer; a worker that holds any is not idle.

        Returns
        -------
        WorkerCommandReply
            Also names the highest fence seen.
        """
        reason = self._command_objection(command, handles_outstanding)
        if reason:
            self.counts.orders_refused += 1
        else:
            self.counts.orders_obeyed += 1
            self._carry_out(command)
        return WorkerCommandReply(
            accepted=not reason,
            highest_term=self.fence.term,
            highest_sequence=self.fence.sequence,
            reason=reason,
        )

    def report(self, handles_outstanding: int) -> BackendReport:
        """Return what the back end tells about itself."""
        record = self.record
        return BackendReport(
            worker_id=record.worker_id,
            incarnation=record.incarnation,
            service=record.service,
            stage=record.stage,
            status=record.status,
            in_flight=self.limit.current,
            highest_in_flight=self.limit.highest,
            handles_outstanding=handles_outstanding,
            executions=self.attempts.executions.total,
            max_executions_by_request=self.attempts.executions.highest,
            repeated_requests=tuple(self.attempts.executions.repeated),
            prefills=self.attempts.prefills.total,
            max_prefills_by_request=self.attempts.prefills.highest,
            highest_term=self.fence.term,
            highest_sequence=self.fence.sequence,
            counts=self.counts,
        )

    def _turn_away(self, command: AttemptDispatch, admission: Admission) -> ErrorBody:
        if admission is Admission.FULL:
            # Nothing is remembered of this attempt, so nothing may be guaranteed about it.
            return self.error(command, ErrorCode.OVERLOADED, "attempt memory full", Ran.UNKNOWN)
        ran = self.attempts.ran(command.attempt_id, command.phase)
        return self.error(command, ErrorCode.ATTEMPT_REFUSED, f"attempt id: {admission}", ran)

    def _objection(self, command: AttemptDispatch, refuse_all: bool) -> ErrorCode | None:
        if self.draining:
            return ErrorCode.DRAINING
        if command.stage is not self._record.stage:
            return ErrorCode.WRONG_STAGE
        if command.model and command.model not in self._record.models:
            return ErrorCode.WRONG_MODEL
        if refuse_all or not self.limit.try_enter():
            return ErrorCode.OVERLOADED
        return None

    def _command_objection(self, command: WorkerCommand, handles_outstanding: int) -> str:
        if command.worker_id != self._record.worker_id:
            return "another worker"
        if command.incarnation != self._record.incarnation:
            return "another incarnation"
        if not self.fence.pass_order(command):
            return ErrorCode.STALE_ORDER.value
        if command.kind is not WorkerCommandKind.SET_STAGE:
            return ""
        if command.stage is None or (command.stage is Stage.PLAIN) != (
            self._record.stage is Stage.PLAIN
        ):
            return "impossible stage"
        if self.limit.current > 0 or handles_outstanding > 0:
            return "not idle"
        return ""

    def _carry_out(self, command: WorkerCommand) -> None:
        if command.kind is WorkerCommandKind.DRAIN:
            self.drain()
        elif command.kind is WorkerCommandKind.RESUME:
            self.resume()
        elif command.stage is not None:
            self._record = msgspec.structs.replace(self._record, stage=command.stage)
