"""Admission control and command handling shared by every emulated back end.

An overloaded back end refuses an attempt and guarantees ``ran=no``. It sends neither a throttle
nor a retry-after (design page, "Workers send neither").
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
    """The fields of a prefill, decode or plain request that admission control reads."""

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
        Record that the back end announces at its start.
    max_in_flight : int
        Maximum number of attempts in progress at once.
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
        """The record that the back end announces, with its current status."""
        status = WorkerStatus.DRAINING if self.draining else WorkerStatus.READY
        return msgspec.structs.replace(self._record, status=status)

    @property
    def draining(self) -> bool:
        """Whether new attempts are refused because the back end drains or terminates."""
        return self._draining or self._terminating

    def set_url(self, url: str) -> None:
        """Set the base URL once the listening port is known."""
        self._record = msgspec.structs.replace(self._record, url=url)

    def drain(self) -> None:
        """Refuse new attempts until :meth:`resume`."""
        self._draining = True

    def resume(self) -> None:
        """Accept new attempts again, unless the process is terminating."""
        self._draining = False

    def terminate(self) -> None:
        """Refuse new attempts until the process exits; no command reverses this."""
        self._terminating = True

    def admit(
        self, dispatch: AttemptDispatch, now: float, refuse_all: bool = False
    ) -> ErrorBody | None:
        """Admit an attempt, or return the reason for its refusal.

        The attempt id is registered before any other check, so that a refusal for another reason
        is recorded under the id.

        Parameters
        ----------
        dispatch : AttemptDispatch
            The attempt to admit.
        now : float
            Monotonic time in seconds.
        refuse_all : bool
            Whether an injected fault makes the back end refuse every attempt.

        Returns
        -------
        ErrorBody or None
            None when the attempt was admitted; it then counts as in flight until :meth:`leave`
            is called.
        """
        admission = self.attempts.admit(
            dispatch.request_id, dispatch.attempt_id, dispatch.phase, now
        )
        if admission is not Admission.ADMITTED:
            return self._reject(dispatch, admission)
        code = self._refusal_code(dispatch, refuse_all)
        if code is not None:
            return self.refuse(dispatch, code, "not taken in", now)
        return None

    def start(self, dispatch: AttemptDispatch, now: float) -> bool:
        """Start an admitted attempt; return False if it was cancelled after its admission."""
        return self.attempts.start(dispatch.attempt_id, dispatch.phase, now)

    def leave(self, dispatch: AttemptDispatch, now: float) -> None:
        """Record the end of an admitted attempt and release its in-flight slot."""
        self.attempts.finish(dispatch.attempt_id, dispatch.phase, now)
        self.limit.leave()

    def refuse(
        self, dispatch: AttemptDispatch, code: ErrorCode, message: str, now: float
    ) -> ErrorBody:
        """Refuse an admitted attempt that has not started; it can never start afterwards."""
        ran = self.attempts.refuse(dispatch.attempt_id, dispatch.phase, now)
        return self.error(dispatch, code, message, ran)

    def error(
        self, dispatch: AttemptDispatch, code: ErrorCode, message: str, ran: Ran
    ) -> ErrorBody:
        """Return the error body of a refusal and count the refusal."""
        self.counts.refused += 1
        return ErrorBody(
            code=code,
            message=f"{self._record.worker_id}: {message}",
            ran=ran,
            request_id=dispatch.request_id,
            attempt_id=dispatch.attempt_id,
        )

    def cancel(self, attempt_id: str, now: float) -> CancelReply:
        """Cancel an attempt; an attempt that has not started can never start afterwards."""
        self.counts.cancelled += 1
        return CancelReply(
            attempt_id=attempt_id,
            ran=self.attempts.cancel(attempt_id, now),
            incarnation=self._record.incarnation,
        )

    def execute(self, command: WorkerCommand, handles_outstanding: int) -> WorkerCommandReply:
        """Apply a command of the leader, or refuse it with a reason.

        Parameters
        ----------
        command : WorkerCommand
            The command, with the term and sequence number that the fence compares.
        handles_outstanding : int
            Number of KV caches still held for a KV transfer. A worker that holds any is not idle.

        Returns
        -------
        WorkerCommandReply
            Also contains the highest term and sequence number that the fence has seen.
        """
        reason = self._command_refusal_reason(command, handles_outstanding)
        if reason:
            self.counts.orders_refused += 1
        else:
            self.counts.orders_obeyed += 1
            self._apply(command)
        return WorkerCommandReply(
            accepted=not reason,
            highest_term=self.fence.term,
            highest_sequence=self.fence.sequence,
            reason=reason,
        )

    def report(self, handles_outstanding: int) -> BackendReport:
        """Return the status report that ``GET /v1/status`` serves."""
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

    def _reject(self, dispatch: AttemptDispatch, admission: Admission) -> ErrorBody:
        if admission is Admission.FULL:
            # No entry was stored for this attempt, so ``ran=no`` cannot be guaranteed.
            return self.error(dispatch, ErrorCode.OVERLOADED, "attempt memory full", Ran.UNKNOWN)
        ran = self.attempts.ran(dispatch.attempt_id, dispatch.phase)
        return self.error(dispatch, ErrorCode.ATTEMPT_REFUSED, f"attempt id: {admission}", ran)

    def _refusal_code(self, dispatch: AttemptDispatch, refuse_all: bool) -> ErrorCode | None:
        if self.draining:
            return ErrorCode.DRAINING
        if dispatch.stage is not self._record.stage:
            return ErrorCode.WRONG_STAGE
        if dispatch.model and dispatch.model not in self._record.models:
            return ErrorCode.WRONG_MODEL
        if refuse_all or not self.limit.try_enter():
            return ErrorCode.OVERLOADED
        return None

    def _command_refusal_reason(self, command: WorkerCommand, handles_outstanding: int) -> str:
        if command.worker_id != self._record.worker_id:
            return "another worker"
        if command.incarnation != self._record.incarnation:
            return "another incarnation"
        if not self.fence.advance(command):
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

    def _apply(self, command: WorkerCommand) -> None:
        if command.kind is WorkerCommandKind.DRAIN:
            self.drain()
        elif command.kind is WorkerCommandKind.RESUME:
            self.resume()
        elif command.stage is not None:
            self._record = msgspec.structs.replace(self._record, stage=command.stage)
