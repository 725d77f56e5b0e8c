"""Simulated back ends: model workers and plain services on the real pure cores, in virtual time."""

from collections.abc import Callable, Iterator

import msgspec

from orchidpath.simulation.exchanges import Exchange, Exchanges
from orchidpath.simulation.request_checks import RequestHistory
from orchidpath.simulation.request_messages import (
    CacheMoved,
    CancelOrder,
    EndOfBody,
    HttpError,
    HttpReply,
    PullCache,
    StreamHead,
)
from orchidpath.simulation.router_node import RouterNode
from orchidpath.simulation.world import SimulatedProcess, World
from orchidpath.standins.answers import expected_call_body
from orchidpath.standins.attempts import Phase
from orchidpath.standins.backend_core import AttemptOrder, BackendCore
from orchidpath.standins.faults import Fault, FaultBoard, FaultKind
from orchidpath.standins.frames import StreamPlan, decode_frames
from orchidpath.standins.hand_over import DENIALS
from orchidpath.standins.kv_cache import HandleClaim, HandleTable, HandleVerdict
from orchidpath.standins.worker_model import (
    WorkerTiming,
    decode_interval_seconds,
    prefill_seconds,
)
from orchidpath.wire.backend import (
    ANNOUNCE_PERIOD_SECONDS,
    Announcement,
    CacheHandle,
    CallReply,
    CallRequest,
    DecodeFrame,
    DecodeRequest,
    ErrorBody,
    ErrorCode,
    FrameKind,
    PrefillReply,
    PrefillRequest,
    Ran,
)
from orchidpath.wire.messages import Message
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

MAX_IN_FLIGHT = 8
DARK_POLL_SECONDS = 0.1
CALL_SECONDS = 0.05

TIMING = WorkerTiming(
    prefill_tokens_per_second=2_000.0,
    decode_tokens_per_second=60.0,
    handle_lifetime_seconds=5.0,
    transfer_timeout_seconds=3.0,
    tokens_per_frame=4,
)

_DENIALS = {
    HandleVerdict.LAPSED: ErrorCode.HANDLE_LAPSED,
    HandleVerdict.MISMATCH: ErrorCode.HANDLE_MISMATCH,
}


class SimulatedBackend(SimulatedProcess):
    """One back end that announces itself, takes orders and can fail in many ways.

    Parameters
    ----------
    world
        Where it runs.
    exchanges
        Makes its connections.
    history
        Told of what it runs.
    record
        How it announces itself; ``url`` is its address.
    routers
        Routers that it may announce itself to.
    """

    def __init__(
        self,
        world: World,
        exchanges: Exchanges,
        history: RequestHistory,
        record: WorkerRecord,
        routers: list[RouterNode],
    ) -> None:
        super().__init__(world, record.worker_id)
        self.faults = FaultBoard()
        self.foreign_handles = 0
        self.foreign_promises = 0
        self.asked_pause_seconds: float | None = None
        self._exchanges = exchanges
        self._history = history
        self._record = record
        self._routers = routers
        self._sequence = 0
        self._streams = 0
        self._last_handle: CacheHandle | None = None
        self._begin_incarnation()

    @property
    def node_id(self) -> str:
        """The worker's name."""
        return self.address

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.alive

    @property
    def record(self) -> WorkerRecord:
        """How it announces itself now."""
        return self.core.record

    def die(self) -> None:
        """Crash."""
        self.kill()

    def drain(self) -> None:
        """Take no new order from now on, and say so."""
        self.core.drain()
        self._announce()

    def inject(self, fault: Fault) -> None:
        """Let a fault begin."""
        self.faults.add(fault, self.now)

    def lapse_handles(self) -> None:
        """Drop every handle."""
        self._handles.lapse_all()

    def heal(self) -> None:
        """End every fault and take orders again."""
        self.faults.clear()
        self.foreign_handles = 0
        self.foreign_promises = 0
        self.asked_pause_seconds = None
        self.core.resume()

    def on_start(self) -> None:
        """Begin as a new incarnation that remembers nothing."""
        self._begin_incarnation()
        self._announce()
        self.every(ANNOUNCE_PERIOD_SECONDS, self._announce)

    def on_kill(self) -> None:
        """Break every connection."""
        self._exchanges.process_died(self.address)

    def on_message(self, sender_id: str, message: Message) -> None:
        """Take nothing: back ends speak over exchanges only."""

    def accept(self, exchange: Exchange, message: object) -> None:
        """Take the request of an exchange."""
        if self._is_dark() and not isinstance(message, PullCache):
            self.after(DARK_POLL_SECONDS, lambda: self.accept(exchange, message))
            return
        match message:
            case PrefillRequest():
                self._take_in(exchange, _prefill_order(message), self._read_prompt)
            case DecodeRequest():
                order = _decode_order(message)
                self._history.handle_presented(order, message.handle)
                self._take_in(exchange, order, lambda x, o: self._pull(x, o, message))
            case CallRequest():
                self._take_in(exchange, _call_order(message), self._call)
            case CancelOrder():
                self._cancel(exchange, message)
            case PullCache():
                self._hand_over(exchange, message)
            case _:
                pass

    # Announcements

    def _begin_incarnation(self) -> None:
        record = msgspec.structs.replace(
            self._record, incarnation=f"{self.address}-{self.epoch}", status=WorkerStatus.READY
        )
        self.core = BackendCore(record, MAX_IN_FLIGHT)
        self._handles = HandleTable(record.incarnation, TIMING.handle_lifetime_seconds)
        self._sequence = 0
        self._streams = 0
        self._last_handle = None
        self.faults.clear()

    def _announce(self) -> None:
        if not self.alive or self.frozen or self._is_dark():
            return
        self._sequence += 1
        announcement = Announcement(record=self.core.record, sequence=self._sequence)
        router = self.world.random.choice(self._routers)
        delay_seconds = self.world.random.uniform(0.0005, self.world.network.delay_seconds)

        def arrive() -> None:
            if (self.address, router.address) not in self.world.cut_links:
                router.announce(announcement)

        self.world.schedule(delay_seconds, arrive)

    def _is_dark(self) -> bool:
        return self.faults.active(FaultKind.GO_DARK, self.now) is not None

    # Admission

    def _take_in(
        self,
        exchange: Exchange,
        order: AttemptOrder,
        work: Callable[[Exchange, AttemptOrder], None],
    ) -> None:
        refuse_all = self.faults.take(FaultKind.REFUSE_ALL, self.now) is not None
        refusal = self.core.admit(order, self.now, refuse_all)
        if refusal is not None:
            if refusal.code is ErrorCode.OVERLOADED:
                refusal = msgspec.structs.replace(
                    refusal, retry_after_seconds=self.asked_pause_seconds
                )
            self._refuse(exchange, order, refusal)
            return
        work(exchange, order)

    def _begin(self, exchange: Exchange, order: AttemptOrder) -> bool:
        if self.core.start(order, self.now):
            self._history.executed(self.record.incarnation, order)
            return True
        ran = self.core.attempts.ran(order.attempt_id, order.phase)
        error = self.core.error(order, ErrorCode.ATTEMPT_REFUSED, "cancelled before", ran)
        self._leave(exchange, order, error)
        return False

    def _refuse(self, exchange: Exchange, order: AttemptOrder, error: ErrorBody) -> None:
        exchange.answer(HttpError(echoed_attempt_id=order.attempt_id, error=error))
        exchange.answer(EndOfBody())

    def _leave(self, exchange: Exchange, order: AttemptOrder, error: ErrorBody) -> None:
        self.core.leave(order, self.now)
        self._refuse(exchange, order, error)

    def _cancel(self, exchange: Exchange, message: CancelOrder) -> None:
        reply = self.core.cancel(message.attempt_id, self.now)
        self._handles.release(message.attempt_id)
        exchange.answer(HttpReply(echoed_attempt_id=message.attempt_id, reply=reply))

    # Work that is answered whole

    def _call(self, exchange: Exchange, order: AttemptOrder) -> None:
        if not self._begin(exchange, order):
            return
        seconds = self.world.random.uniform(0.5, 2.0) * CALL_SECONDS
        seconds *= self.faults.factor(FaultKind.SLOW, self.now)

        def reply(sender: AttemptOrder) -> HttpReply:
            body = expected_call_body(sender.request_id, "POST", "/")
            return _whole(
                sender,
                CallReply(
                    request_id=sender.request_id,
                    attempt_id=sender.attempt_id,
                    body=msgspec.Raw(body),
                ),
            )

        self.after(seconds, lambda: self._answer(exchange, order, reply))

    def _read_prompt(self, exchange: Exchange, order: AttemptOrder) -> None:
        if not self._begin(exchange, order):
            return
        prompt_tokens = self.world.random.choice((20, 100, 400))
        seconds = prefill_seconds(TIMING, prompt_tokens, 0)
        seconds *= self.faults.factor(FaultKind.SLOW, self.now)

        def reply(sender: AttemptOrder) -> HttpReply:
            handle = self._issue(order, prompt_tokens)
            return _whole(
                sender,
                PrefillReply(
                    request_id=sender.request_id,
                    attempt_id=sender.attempt_id,
                    handle=handle,
                    cached_tokens=0,
                ),
            )

        self.after(seconds, lambda: self._answer(exchange, order, reply))

    def _answer(
        self,
        exchange: Exchange,
        order: AttemptOrder,
        reply: Callable[[AttemptOrder], HttpReply],
        is_late: bool = False,
    ) -> None:
        late = self.faults.take(FaultKind.ANSWER_LATE, self.now)
        if late is not None and not is_late:
            self.after(
                late.delay_seconds, lambda: self._answer(exchange, order, reply, is_late=True)
            )
            return
        if self.core.attempts.is_cancelled(order.attempt_id):
            error = self.core.error(order, ErrorCode.ATTEMPT_REFUSED, "cancelled", Ran.YES)
            self._leave(exchange, order, error)
            return
        error_or_none = self._failure(order)
        if error_or_none is not None:
            self._leave(exchange, order, error_or_none)
            return
        self.core.leave(order, self.now)
        if self.faults.take(FaultKind.TRUNCATE, self.now) is not None:
            exchange.close_server()
            return
        exchange.answer(reply(self._answer_identity(order)))

    def _failure(self, order: AttemptOrder) -> ErrorBody | None:
        """Return an injected failure of work that has been done."""
        if self.foreign_promises > 0:
            # A promise about another attempt, such as a confused intermediary would pass on.
            self.foreign_promises -= 1
            error = self.core.error(order, ErrorCode.INTERNAL, "not run", Ran.NO)
            return msgspec.structs.replace(error, attempt_id=f"{order.attempt_id}-other")
        if self.faults.take(FaultKind.FAIL_NEXT, self.now) is not None:
            return self.core.error(order, ErrorCode.INTERNAL, "injected failure", Ran.UNKNOWN)
        return None

    def _answer_identity(self, order: AttemptOrder) -> AttemptOrder:
        if self.faults.take(FaultKind.WRONG_ATTEMPT_ECHO, self.now) is None:
            return order
        return msgspec.structs.replace(
            order, request_id=f"{order.request_id}-other", attempt_id=f"{order.attempt_id}-other"
        )

    def _issue(self, order: AttemptOrder, prompt_tokens: int) -> CacheHandle:
        handle_id = self._handles.issue(order.request_id, order.attempt_id, prompt_tokens, self.now)
        handle = CacheHandle(
            handle_id=handle_id,
            request_id=order.request_id,
            attempt_id=order.attempt_id,
            worker_id=self.address,
            incarnation=self.record.incarnation,
            url=self.record.url,
            prompt_tokens=prompt_tokens,
            expires_in_seconds=TIMING.handle_lifetime_seconds,
        )
        self._history.handle_issued(handle)
        former, self._last_handle = self._last_handle, handle
        if self.foreign_handles > 0 and former is not None:
            self.foreign_handles -= 1
            return former
        return handle

    # Hand-over

    def _hand_over(self, exchange: Exchange, message: PullCache) -> None:
        answer = self._handles.take(message.claim, self.now)
        if answer.verdict is HandleVerdict.GRANTED:
            seconds = 0.01 * self.faults.factor(FaultKind.SLOW_LINK, self.now)
            self.after(seconds, lambda: exchange.answer(CacheMoved(claim=message.claim)))
            return
        error = ErrorBody(
            code=_DENIALS[answer.verdict], message=f"handle {answer.verdict}", ran=Ran.NO
        )
        exchange.answer(HttpError(echoed_attempt_id="", error=error))

    def _pull(self, exchange: Exchange, order: AttemptOrder, message: DecodeRequest) -> None:
        handle = message.handle
        is_done = False

        def done(code: ErrorCode | None, cause: str = "") -> None:
            nonlocal is_done
            if is_done:
                return
            is_done = True
            if code is None:
                self._decode(exchange, order, message.max_tokens)
                return
            if self._is_link_cut(handle.worker_id):
                self._history.hand_over_failed(order.attempt_id, handle.worker_id, self.address)
            error = self.core.refuse(order, code, cause, self.now)
            self._leave(exchange, order, error)

        def connected(pull: Exchange) -> None:
            def take(answer: object) -> None:
                pull.close_client()
                if isinstance(answer, CacheMoved):
                    done(None)
                elif isinstance(answer, HttpError):
                    code = answer.error.code
                    done(code if code in DENIALS else ErrorCode.UPSTREAM_FAILED, "denied")

            pull.client.on_message = take
            pull.client.on_broken = lambda: done(ErrorCode.UPSTREAM_FAILED, "broken")
            open_server(pull)
            pull.send(PullCache(claim=_claim(order, handle), decode_worker=self.address))

        self.after(
            TIMING.transfer_timeout_seconds, lambda: done(ErrorCode.UPSTREAM_FAILED, "too slow")
        )
        self._exchanges.connect(
            self, handle.worker_id, connected, lambda: done(ErrorCode.UPSTREAM_FAILED, "no answer")
        )

    def _is_link_cut(self, other: str) -> bool:
        cut_links = self.world.cut_links
        return (self.address, other) in cut_links or (other, self.address) in cut_links

    # Streams

    def _decode(self, exchange: Exchange, order: AttemptOrder, max_tokens: int) -> None:
        if not self._begin(exchange, order):
            return
        late = self.faults.take(FaultKind.ANSWER_LATE, self.now)
        seconds = late.delay_seconds if late is not None else 0.0
        self.after(seconds, lambda: self._stream(exchange, order, max_tokens))

    def _stream(self, exchange: Exchange, order: AttemptOrder, max_tokens: int) -> None:
        failure = self._failure(order)
        if failure is not None:
            self._leave(exchange, order, failure)
            return
        sender = self._answer_identity(order)
        gap = self.faults.take(FaultKind.SEQUENCE_GAP, self.now)
        plan = StreamPlan(
            request_id=sender.request_id,
            attempt_id=sender.attempt_id,
            max_tokens=max_tokens,
            tokens_per_frame=TIMING.tokens_per_frame,
            lost_frame=1 if gap is not None else None,
            without_terminal=self.faults.take(FaultKind.MISSING_TERMINAL, self.now) is not None,
        )
        cut = self.faults.take(FaultKind.TRUNCATE, self.now)
        stall = self.faults.take(FaultKind.STALL, self.now)
        stream = _Stream(decode_frames(plan), cut, stall)
        self._streams += 1
        exchange.answer(StreamHead(echoed_attempt_id=sender.attempt_id))
        self._next_frame(exchange, order, stream)

    def _next_frame(self, exchange: Exchange, order: AttemptOrder, stream: "_Stream") -> None:
        frame = next(stream.frames, None)
        if frame is None:
            exchange.answer(EndOfBody())
            self._end_stream(order)
            return
        seconds = stream.stall_seconds()
        if frame.kind is FrameKind.CONTENT:
            interval = decode_interval_seconds(TIMING, self._streams) * TIMING.tokens_per_frame
            seconds += interval * self.faults.factor(FaultKind.SLOW, self.now)
        self.after(seconds, lambda: self._send_frame(exchange, order, stream, frame))

    def _send_frame(
        self, exchange: Exchange, order: AttemptOrder, stream: "_Stream", frame: DecodeFrame
    ) -> None:
        if self._is_dark():
            self.after(DARK_POLL_SECONDS, lambda: self._send_frame(exchange, order, stream, frame))
            return
        is_gone = not exchange.server.is_open
        if is_gone or stream.is_cut() or self.core.attempts.is_cancelled(order.attempt_id):
            exchange.close_server()
            self._end_stream(order)
            return
        stream.sent += 1
        exchange.answer(frame)
        self._next_frame(exchange, order, stream)

    def _end_stream(self, order: AttemptOrder) -> None:
        self._streams -= 1
        self.core.leave(order, self.now)


class _Stream:
    """A stream under way and what is to befall it."""

    def __init__(
        self, frames: Iterator[DecodeFrame], cut: Fault | None, stall: Fault | None
    ) -> None:
        self.frames = frames
        self.sent = 0
        self._cut = cut
        self._stall = stall

    def is_cut(self) -> bool:
        return self._cut is not None and self.sent > self._cut.after_frames

    def stall_seconds(self) -> float:
        if self._stall is None or self.sent != self._stall.after_frames + 1:
            return 0.0
        return self._stall.seconds


def open_server(exchange: Exchange) -> SimulatedBackend:
    """Let the back end at the server's end take what comes on an exchange, and return it."""
    server = exchange.server.process
    assert isinstance(server, SimulatedBackend)
    exchange.server.on_message = lambda message: server.accept(exchange, message)
    return server


def _whole(sender: AttemptOrder, reply: PrefillReply | CallReply) -> HttpReply:
    return HttpReply(echoed_attempt_id=sender.attempt_id, reply=reply)


def _claim(order: AttemptOrder, handle: CacheHandle) -> HandleClaim:
    return HandleClaim(
        handle_id=handle.handle_id,
        request_id=order.request_id,
        attempt_id=order.attempt_id,
        incarnation=handle.incarnation,
    )


def _prefill_order(message: PrefillRequest) -> AttemptOrder:
    return AttemptOrder(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        phase=Phase.PROMPT_READ,
        stage=Stage.PREFILL,
        model=message.model,
    )


def _decode_order(message: DecodeRequest) -> AttemptOrder:
    return AttemptOrder(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        phase=Phase.EXECUTION,
        stage=Stage.DECODE,
        model=message.model,
    )


def _call_order(message: CallRequest) -> AttemptOrder:
    return AttemptOrder(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        phase=Phase.EXECUTION,
        stage=Stage.PLAIN,
    )
