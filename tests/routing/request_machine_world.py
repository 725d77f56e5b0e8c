"""A world of unreliable workers around one request, and a checker that trusts only that world.

Every choice of the world comes from outside as a number, so that a failing run can be shrunk. The
checker keeps its own record of what each worker truly promised; it never asks the machine.
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


class Sent:
    """One order as the world saw it."""

    def __init__(self, instruction: events.RequestInstruction) -> None:
        assert isinstance(instruction, events.SEND_INSTRUCTIONS)
        self.kind = type(instruction)
        self.worker_id = instruction.worker_id
        self.attempt_id = instruction.attempt_id
        self.cannot_run = False
        self.succeeded = False


class World:
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
        self.orders: list[Sent] = []
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
            (one.report.attempt_id, one.report.worker_id) for one in self.driver.all(events.Report)
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
            self.read_prompt(choice)
        elif phase == "calling":
            self.answer_call(choice)
        else:
            self.stream(choice)

    def disturb(self, choice: int) -> None:
        """Something late, crossed or from the caller's side."""
        driver = self.driver
        if choice % 4 == 0:
            driver.feed(events.DeadlinePassed())
        elif choice % 4 == 1 and len(self.orders) > 1:
            late = self.orders[0].attempt_id
            driver.feed(events.DecodeEnded(attempt_id=late))
            driver.feed(
                events.CancelAnswered(
                    worker_id=self.orders[0].worker_id,
                    attempt_id=late,
                    is_same_incarnation=True,
                    ran=Ran.NO,
                )
            )
        elif choice % 4 == 2 and self.orders:
            number = choice % 3
            driver.feed(events.TimerElapsed(kind=events.TimerKind.BACKOFF, number=-number))
        elif choice % 4 == 3 and self.orders:
            frame = DecodeFrame(
                request_id=REQUEST, attempt_id="other", sequence=0, kind=FrameKind.CONTENT
            )
            driver.feed(events.DecodeFrameReceived(attempt_id="other", frame=frame))

    def decide(self, choice: int) -> None:
        driver = self.driver
        if choice % 10 == 0:
            driver.deny(Rejection.CIRCUITS_OPEN)
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
        """Let the current order fail in one of many ways, true promises among them."""
        driver, order = self.driver, self.orders[-1]
        code = CODES[choice % len(CODES)]
        way = choice // 4 % 7
        if way == 0:
            order.cannot_run = True
            driver.fail(Observed.CONNECT_FAILED, left=False)
        elif way == 1:
            order.cannot_run = not self.has_content
            driver.refuse(driver.error(code, Ran.NO))
        elif way == 2:
            driver.refuse(driver.error(code, Ran.NO), echoed_attempt_id="other")
        elif way == 3:
            driver.refuse(driver.error(code, Ran.UNKNOWN))
        elif way == 4:
            order.cannot_run = True
            refusal = tuple(events.SendRefusal)[choice % 2]
            event = events.SendRefused(
                attempt_id=driver.attempt_id, refusal=refusal, retry_after_seconds=1.0
            )
            driver.feed(event)
        elif way == 5:
            driver.refuse(driver.error(code, Ran.NO, attempt_id="other"), echoed_attempt_id="")
        else:
            driver.fail(OBSERVATIONS[choice % len(OBSERVATIONS)])

    def answer_cancel(self, choice: int) -> None:
        driver, order = self.driver, self.orders[-1]
        way = choice % 6
        if way == 0:
            order.cannot_run = True
            driver.cancel_answer(order.worker_id, Ran.NO)
        elif way == 1:
            driver.cancel_answer("p-other", Ran.NO)
        elif way == 2:
            driver.cancel_answer(order.worker_id, Ran.NO, same_incarnation=False)
        elif way == 3:
            driver.cancel_answer(order.worker_id, Ran.YES)
        elif way == 4:
            driver.cancel_answer(order.worker_id, Ran.NO, attempt_id="other")
        else:
            driver.elapse()

    def read_prompt(self, choice: int) -> None:
        worker = self.orders[-1].worker_id
        if choice % 10 < 6:
            self.orders[-1].succeeded = True
            self.driver.read(worker)
        elif choice % 10 == 6:
            self.driver.read(worker, attempt_id="other")
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
        way = choice % 12
        kinds = (FrameKind.ROLE, FrameKind.USAGE, FrameKind.KEEPALIVE, FrameKind.DONE)
        if way < 4:
            driver.frame(kinds[way])
        elif way < 7:
            self.has_content = True
            driver.frame(FrameKind.CONTENT)
        elif way == 7:
            driver.frame(FrameKind.CONTENT, sequence=driver.sequence + 1)
        elif way == 8:
            driver.frame(FrameKind.CONTENT, attempt_id="other")
        elif way == 9:
            driver.feed(events.DecodeEnded(attempt_id=driver.attempt_id))
        elif way == 10:
            self.orders[-1].cannot_run = not self.has_content
            driver.frame(FrameKind.ERROR, error=driver.error(ErrorCode.INTERNAL, Ran.NO))
        else:
            self.fail(choice)

    def check(self) -> None:
        """Check the instructions that came since the last check."""
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
                is_whole = instruction.body is not None or (
                    bool(self.relayed) and self.relayed[-1].kind is FrameKind.DONE
                )
                assert is_whole, "a cut stream must not look complete"
            if isinstance(instruction, events.TERMINAL_INSTRUCTIONS):
                assert not self.ended
                self.ended = True
        counted = Counter(
            one.report.worker_id
            for one in self.driver.all(events.Report)
            if one.report.effect is AttemptEffect.TRANSIENT
        )
        assert all(count == 1 for count in counted.values()), "one failure a worker"

    def check_send(self, instruction: events.RequestInstruction) -> None:
        assert not self.committed, "nothing is sent after the commit"
        assert not self.ended, "nothing is sent after the end"
        if isinstance(instruction, events.SendDecode):
            handle = instruction.handle
            bound_to = (handle.request_id, handle.attempt_id)
            assert bound_to == (REQUEST, instruction.attempt_id), "a handle of another attempt"
        for order in self.orders:
            is_own_read = (
                isinstance(instruction, events.SendDecode)
                and order.attempt_id == instruction.attempt_id
            )
            allowed = self.repeatable or is_own_read or self.allows_another(order)
            assert allowed, "two orders for one call"
        self.orders.append(Sent(instruction))
        executions = [one for one in self.orders if one.kind is not events.SendDecode]
        assert len(executions) <= MAXIMUM_ATTEMPTS

    def allows_another(self, order: Sent) -> bool:
        if order.cannot_run:
            return True
        return order.kind is events.SendPrefill and self.repeat_prompt_read

    def check_relay(self, instruction: events.Relay) -> None:
        assert self.committed, "nothing reaches the caller before the commit"
        may_commit = self.has_content or instruction.frames[-1].kind is FrameKind.DONE
        assert may_commit, "only content and the terminal commit"
        self.relayed.extend(instruction.frames)
        kept = [one for one in self.relayed if one.kind is not FrameKind.KEEPALIVE]
        assert {one.attempt_id for one in kept} <= {self.driver.attempt_id}, "stitched stream"
        sequences = [one.sequence for one in self.relayed]
        assert sequences == sorted(set(sequences))

    def check_reject(self, instruction: events.Reject) -> None:
        assert not self.relayed, "an error status after the commit"
        if instruction.error.ran is Ran.NO:
            assert all(order.cannot_run for order in self.orders), "ran=no was not so"
