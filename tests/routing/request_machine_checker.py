"""Unreliable workers around one request, and a checker independent of the machine.

Every choice is a number given from outside, so that a failing run can be shrunk. The checker keeps
its own record of the guarantees of each worker and never reads the state of the machine.
"""

from collections import Counter
from collections.abc import Sequence

from request_machine_driver import REQUEST, Driver

from orchidpath.circuit.classification import Observed
from orchidpath.routing.request import events
from orchidpath.routing.request.guards import Guard
from orchidpath.wire.backend import DecodeFrame, ErrorCode, FrameKind, Ran
from orchidpath.wire.configuration import RetryPolicy
from orchidpath.wire.messages import AttemptEffect, Rejection

OBSERVATIONS = (Observed.CONNECTION_RESET, Observed.TIMED_OUT, Observed.MALFORMED_PROTOCOL)
CODES = (ErrorCode.DRAINING, ErrorCode.INTERNAL, ErrorCode.HANDLE_EXPIRED, ErrorCode.BAD_REQUEST)
MAXIMUM_ATTEMPTS = 5


class DispatchedCall:
    """One dispatch, and what its worker did with it."""

    def __init__(self, instruction: events.RequestInstruction) -> None:
        assert isinstance(instruction, events.SEND_INSTRUCTIONS)
        self.kind = type(instruction)
        self.worker_id = instruction.worker_id
        self.attempt_id = instruction.attempt_id
        self.cannot_run = False
        self.succeeded = False


class RequestMachineChecker:
    """Feeds events by number, and checks every instruction."""

    def __init__(
        self,
        *,
        model: bool,
        streaming: bool,
        repeatable: bool,
        repeat_prompt_read: bool,
        disabled: Sequence[Guard] = (),
    ) -> None:
        self.repeatable = repeatable
        self.repeat_prompt_read = repeat_prompt_read
        retry = RetryPolicy(budget_minimum_per_second=1000.0, max_attempts=MAXIMUM_ATTEMPTS)
        self.driver = Driver(
            model=model,
            streaming=streaming,
            repeatable=repeatable,
            repeat_prompt_read=repeat_prompt_read,
            retry=retry,
            disabled=disabled,
        )
        self.dispatches: list[DispatchedCall] = []
        self.chosen: list[tuple[str, str]] = []
        self.relayed: list[DecodeFrame] = []
        self.committed = False
        self.ended = False
        self.has_content = False
        self.checked = 0

    def run(self, choices: Sequence[int]) -> None:
        self.driver.admit()
        self.check()
        for choice in choices:
            if self.ended:
                break
            self.step(choice)
            self.check()
        self.driver.feed(events.ClientDisconnected())
        self.check()
        reported = Counter(
            (instruction.report.attempt_id, instruction.report.worker_id)
            for instruction in self.driver.all(events.Report)
        )
        assert reported == Counter(self.chosen), "each chosen worker is reported once"

    def step(self, choice: int) -> None:
        phase = self.driver.machine.phase.value
        rare = choice % 20
        if rare == 19:
            self.disturb(choice // 20)
        elif phase == "deciding":
            self.decide(choice)
        elif phase == "backing_off":
            self.driver.elapse()
        elif phase == "cancelling":
            self.answer_cancel(choice)
        elif phase == "reading_prompt":
            self.prefill(choice)
        elif phase == "calling":
            self.answer_call(choice)
        else:
            self.stream(choice)

    def disturb(self, choice: int) -> None:
        """Feed an event that is late, of another request, or of the caller."""
        driver = self.driver
        if choice % 4 == 0:
            driver.feed(events.DeadlinePassed())
        elif choice % 4 == 1 and len(self.dispatches) > 1:
            late = self.dispatches[0].attempt_id
            driver.feed(events.DecodeEnded(attempt_id=late))
            driver.feed(
                events.CancelAnswered(
                    worker_id=self.dispatches[0].worker_id,
                    attempt_id=late,
                    is_same_incarnation=True,
                    ran=Ran.NO,
                )
            )
        elif choice % 4 == 2 and self.dispatches:
            number = choice % 3
            driver.feed(events.TimerElapsed(kind=events.TimerKind.BACKOFF, number=-number))
        elif choice % 4 == 3 and self.dispatches:
            frame = DecodeFrame(
                request_id=REQUEST, attempt_id="other", sequence=0, kind=FrameKind.CONTENT
            )
            driver.feed(events.DecodeFrameReceived(attempt_id="other", frame=frame))

    def decide(self, choice: int) -> None:
        driver = self.driver
        if choice % 10 == 0:
            driver.reject_decision(Rejection.CIRCUITS_OPEN)
            return
        if choice % 10 == 1:
            driver.feed(events.NoCandidates(attempt_id=driver.attempt_id, reason="none"))
            return
        workers = (f"p{choice % 3}", f"d{choice % 2}") if driver.model else (f"s{choice % 3}",)
        self.has_content = False
        attempt_id = driver.attempt_id
        driver.decide(*workers)
        self.chosen.extend((attempt_id, worker) for worker in workers)

    def fail(self, choice: int) -> None:
        """Let the current dispatch fail in one of several variants, some with a true guarantee."""
        driver, dispatch = self.driver, self.dispatches[-1]
        code = CODES[choice % len(CODES)]
        variant = choice // 4 % 7
        if variant == 0:
            dispatch.cannot_run = True
            driver.fail(Observed.CONNECT_FAILED, sent=False)
        elif variant == 1:
            dispatch.cannot_run = not self.has_content
            driver.reject(driver.error(code, Ran.NO))
        elif variant == 2:
            driver.reject(driver.error(code, Ran.NO), echoed_attempt_id="other")
        elif variant == 3:
            driver.reject(driver.error(code, Ran.UNKNOWN))
        elif variant == 4:
            dispatch.cannot_run = True
            refusal = tuple(events.SendRefusal)[choice % 2]
            event = events.SendRefused(
                attempt_id=driver.attempt_id, refusal=refusal, retry_after_seconds=1.0
            )
            driver.feed(event)
        elif variant == 5:
            driver.reject(driver.error(code, Ran.NO, attempt_id="other"), echoed_attempt_id="")
        else:
            driver.fail(OBSERVATIONS[choice % len(OBSERVATIONS)])

    def answer_cancel(self, choice: int) -> None:
        driver, dispatch = self.driver, self.dispatches[-1]
        variant = choice % 6
        if variant == 0:
            dispatch.cannot_run = True
            driver.cancel_answer(dispatch.worker_id, Ran.NO)
        elif variant == 1:
            driver.cancel_answer("p-other", Ran.NO)
        elif variant == 2:
            driver.cancel_answer(dispatch.worker_id, Ran.NO, same_incarnation=False)
        elif variant == 3:
            driver.cancel_answer(dispatch.worker_id, Ran.YES)
        elif variant == 4:
            driver.cancel_answer(dispatch.worker_id, Ran.NO, attempt_id="other")
        else:
            driver.elapse()

    def prefill(self, choice: int) -> None:
        worker = self.dispatches[-1].worker_id
        if choice % 10 < 6:
            self.dispatches[-1].succeeded = True
            self.driver.complete_prefill(worker)
        elif choice % 10 == 6:
            self.driver.complete_prefill(worker, attempt_id="other")
        else:
            self.fail(choice)

    def answer_call(self, choice: int) -> None:
        driver = self.driver
        if choice % 10 < 8:
            self.fail(choice)
            return
        answer = events.CallReplied(
            attempt_id=driver.attempt_id,
            replied_request_id=REQUEST,
            replied_attempt_id=driver.attempt_id if choice % 10 == 8 else "other",
            body=b"1",
        )
        self.driver.feed(answer)

    def stream(self, choice: int) -> None:
        driver = self.driver
        variant = choice % 12
        kinds = (FrameKind.ROLE, FrameKind.USAGE, FrameKind.KEEPALIVE, FrameKind.DONE)
        if variant < 4:
            driver.frame(kinds[variant])
        elif variant < 7:
            self.has_content = True
            driver.frame(FrameKind.CONTENT)
        elif variant == 7:
            driver.frame(FrameKind.CONTENT, sequence=driver.sequence + 1)
        elif variant == 8:
            driver.frame(FrameKind.CONTENT, attempt_id="other")
        elif variant == 9:
            driver.feed(events.DecodeEnded(attempt_id=driver.attempt_id))
        elif variant == 10:
            self.dispatches[-1].cannot_run = not self.has_content
            driver.frame(FrameKind.ERROR, error=driver.error(ErrorCode.INTERNAL, Ran.NO))
        else:
            self.fail(choice)

    def check(self) -> None:
        """Check the instructions since the last check."""
        new = self.driver.log[self.checked :]
        self.checked = len(self.driver.log)
        for instruction in new:
            if isinstance(instruction, events.SEND_INSTRUCTIONS):
                self.check_send(instruction)
            elif isinstance(instruction, events.Commit):
                assert not self.committed
                self.committed = True
            elif isinstance(instruction, events.Relay):
                self.check_relay(instruction)
            elif isinstance(instruction, events.Reject):
                self.check_reject(instruction)
            elif isinstance(instruction, events.Finish):
                is_complete = instruction.body is not None or (
                    bool(self.relayed) and self.relayed[-1].kind is FrameKind.DONE
                )
                assert is_complete, "an aborted stream must not look complete"
            if isinstance(instruction, events.TERMINAL_INSTRUCTIONS):
                assert not self.ended
                self.ended = True
        counted = Counter(
            instruction.report.worker_id
            for instruction in self.driver.all(events.Report)
            if instruction.report.effect is AttemptEffect.TRANSIENT
        )
        assert all(count == 1 for count in counted.values()), "one failure a worker"

    def check_send(self, instruction: events.RequestInstruction) -> None:
        assert not self.committed, "nothing is sent after the commit"
        assert not self.ended, "nothing is sent after the end"
        if isinstance(instruction, events.SendDecode):
            handle = instruction.handle
            bound_to = (handle.request_id, handle.attempt_id)
            assert bound_to == (REQUEST, instruction.attempt_id), "a handle of another attempt"
        for dispatch in self.dispatches:
            is_own_prefill = (
                isinstance(instruction, events.SendDecode)
                and dispatch.attempt_id == instruction.attempt_id
            )
            allowed = self.repeatable or is_own_prefill or self.allows_another(dispatch)
            assert allowed, "two dispatches of one call"
        self.dispatches.append(DispatchedCall(instruction))
        executions = [
            dispatch for dispatch in self.dispatches if dispatch.kind is not events.SendDecode
        ]
        assert len(executions) <= MAXIMUM_ATTEMPTS

    def allows_another(self, dispatch: DispatchedCall) -> bool:
        if dispatch.cannot_run:
            return True
        return dispatch.kind is events.SendPrefill and self.repeat_prompt_read

    def check_relay(self, instruction: events.Relay) -> None:
        assert self.committed, "nothing reaches the caller before the commit"
        may_commit = self.has_content or instruction.frames[-1].kind is FrameKind.DONE
        assert may_commit, "only content and the terminal commit"
        self.relayed.extend(instruction.frames)
        content = [frame for frame in self.relayed if frame.kind is not FrameKind.KEEPALIVE]
        assert {frame.attempt_id for frame in content} <= {self.driver.attempt_id}, (
            "stitched stream"
        )
        sequences = [frame.sequence for frame in self.relayed]
        assert sequences == sorted(set(sequences))

    def check_reject(self, instruction: events.Reject) -> None:
        assert not self.relayed, "an error status after the commit"
        if instruction.error.ran is Ran.NO:
            assert all(dispatch.cannot_run for dispatch in self.dispatches), "ran=no was wrong"
