"""Drives a request machine with scripted events; shared by the tests of the machine."""

from collections.abc import Sequence
from random import Random
from typing import TypeVar

from orchidpath.circuit.classification import AttemptObservation, Observed
from orchidpath.routing.kv_transfer_evidence import TransferEvidenceTable
from orchidpath.routing.request import events
from orchidpath.routing.request.core import SharedRouting
from orchidpath.routing.request.guards import Guard
from orchidpath.routing.request.request_machine import RequestMachine
from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.backend import CacheHandle, DecodeFrame, ErrorBody, ErrorCode, FrameKind, Ran
from orchidpath.wire.configuration import RetryPolicy, Route
from orchidpath.wire.messages import AttemptEffect, Choice, DecisionReply, Rejection
from orchidpath.wire.records import Stage

REQUEST = "request-1"
LARGE_RETRY_BUDGET = RetryPolicy(budget_minimum_per_second=100.0)

T = TypeVar("T")


class Driver:
    """Feeds events to the machine of one request and records every returned instruction."""

    def __init__(
        self,
        *,
        model: bool = True,
        streaming: bool = True,
        repeatable: bool = False,
        repeat_prompt_read: bool = False,
        deadline: float = 30.0,
        retry: RetryPolicy = LARGE_RETRY_BUDGET,
        seed: int = 1,
        kv_transfer_evidence: TransferEvidenceTable | None = None,
        disabled: Sequence[Guard] = (),
    ) -> None:
        route = Route(
            name="route",
            service="service",
            repeatable=repeatable,
            repeat_prompt_read=repeat_prompt_read,
        )
        plan = events.RequestPlan(
            request_id=REQUEST,
            route=route,
            retry=retry,
            is_model=model,
            streaming=streaming,
            deadline=deadline,
        )
        self.kv_transfer_evidence = kv_transfer_evidence or TransferEvidenceTable()
        self.budget = RetryBudget(retry)
        shared = SharedRouting(
            retry_budget=self.budget,
            kv_transfer_evidence=self.kv_transfer_evidence,
            random=Random(seed),
        )
        self.machine = RequestMachine(plan, shared, frozenset(disabled))
        self.model = model
        self.now = 0.0
        self.log: list[events.RequestInstruction] = []
        self.last: list[events.RequestInstruction] = []
        self.sequence = 0

    def feed(self, event: events.RequestEvent) -> list[events.RequestInstruction]:
        self.last = self.machine.handle(event, self.now)
        self.log.extend(self.last)
        return self.last

    def all(self, kind: type[T]) -> list[T]:
        return [instruction for instruction in self.log if isinstance(instruction, kind)]

    def newest(self, kind: type[T]) -> T:
        return self.all(kind)[-1]

    @property
    def attempt_id(self) -> str:
        return self.newest(events.RequestDecision).attempt_id

    def admit(self) -> None:
        self.feed(events.Admitted())

    def decide(self, *workers: str) -> list[events.RequestInstruction]:
        """Decide for a prefill and a decode worker, or for the worker of a plain call."""
        stages = (Stage.PREFILL, Stage.DECODE) if self.model else (Stage.PLAIN,)
        choices = tuple(
            Choice(stage=stage, worker_id=worker)
            for stage, worker in zip(stages, workers, strict=True)
        )
        reply = DecisionReply(correlation=0, term=1, choices=choices)
        self.sequence = 0
        return self.feed(events.DecisionMade(attempt_id=self.attempt_id, reply=reply))

    def reject_decision(
        self, rejection: Rejection, retry_after: float = 7.0
    ) -> list[events.RequestInstruction]:
        reply = DecisionReply(
            correlation=0, term=1, rejection=rejection, retry_after_seconds=retry_after
        )
        return self.feed(events.DecisionMade(attempt_id=self.attempt_id, reply=reply))

    def handle(self, worker: str, **changes: str) -> CacheHandle:
        bound = {"request_id": REQUEST, "attempt_id": self.attempt_id, "worker_id": worker}
        return CacheHandle(
            handle_id="handle",
            incarnation="i",
            url="http://127.0.0.1:1",
            prompt_tokens=10,
            expires_in_seconds=30.0,
            **(bound | changes),
        )

    def complete_prefill(self, worker: str, **changes: str) -> list[events.RequestInstruction]:
        handle = self.handle(worker, **changes)
        event = events.PrefillSucceeded(
            attempt_id=self.attempt_id, request_id=REQUEST, handle=handle
        )
        return self.feed(event)

    def frame(
        self,
        kind: FrameKind,
        *,
        attempt_id: str | None = None,
        sequence: int | None = None,
        error: ErrorBody | None = None,
    ) -> list[events.RequestInstruction]:
        if sequence is None:
            sequence = self.sequence
            self.sequence += 1
        frame = DecodeFrame(
            request_id=REQUEST,
            attempt_id=attempt_id or self.attempt_id,
            sequence=sequence,
            kind=kind,
            text="x",
            error=error,
        )
        return self.feed(events.DecodeFrameReceived(attempt_id=self.attempt_id, frame=frame))

    def error(
        self, code: ErrorCode, ran: Ran, retry_after: float | None = None, attempt_id: str = ""
    ) -> ErrorBody:
        return ErrorBody(
            code=code,
            message="no",
            ran=ran,
            attempt_id=attempt_id or self.attempt_id,
            retry_after_seconds=retry_after,
        )

    def fail(
        self, observed: Observed = Observed.CONNECTION_RESET, *, sent: bool = True
    ) -> list[events.RequestInstruction]:
        event = events.AttemptFailed(
            attempt_id=self.attempt_id,
            observation=AttemptObservation(observed=observed),
            reason=observed.value,
            dispatch_left=sent,
        )
        return self.feed(event)

    def reject(
        self, error: ErrorBody, echoed_attempt_id: str | None = None
    ) -> list[events.RequestInstruction]:
        event = events.AttemptFailed(
            attempt_id=self.attempt_id,
            observation=AttemptObservation(observed=Observed.REFUSED, error_code=error.code),
            reason=error.message,
            dispatch_left=True,
            echoed_attempt_id=self.attempt_id if echoed_attempt_id is None else echoed_attempt_id,
            error=error,
        )
        return self.feed(event)

    def cancel_answer(
        self, worker: str, ran: Ran, *, same_incarnation: bool = True, attempt_id: str = ""
    ) -> list[events.RequestInstruction]:
        event = events.CancelAnswered(
            worker_id=worker,
            attempt_id=attempt_id or self.attempt_id,
            is_same_incarnation=same_incarnation,
            ran=ran,
        )
        return self.feed(event)

    def elapse(self) -> list[events.RequestInstruction]:
        """Advance the time to the end of the newest timer, and feed its event."""
        timer = self.newest(events.StartTimer)
        self.now += timer.seconds
        return self.feed(events.TimerElapsed(kind=timer.kind, number=timer.number))

    def sends(self) -> list[events.RequestInstruction]:
        return [
            instruction
            for instruction in self.log
            if isinstance(instruction, events.SEND_INSTRUCTIONS)
        ]

    def reports(self, worker: str) -> list[AttemptEffect]:
        return [
            instruction.report.effect
            for instruction in self.all(events.Report)
            if instruction.report.worker_id == worker
        ]

    def rejected(self) -> ErrorBody:
        assert self.machine.is_ended
        return self.newest(events.Reject).error

    def is_retrying(self) -> bool:
        """Return whether the newest instructions lead to a further attempt."""
        timers = [
            instruction for instruction in self.last if isinstance(instruction, events.StartTimer)
        ]
        waits = any(timer.kind is events.TimerKind.BACKOFF for timer in timers)
        return waits or any(
            isinstance(instruction, events.RequestDecision) for instruction in self.last
        )
