"""Reads the answer to one order on a simulated exchange and turns it into events.

The counterpart of :class:`orchidpath.router.chat.backend_client.BackendClient`, whose timeouts and
checks it keeps.
"""

from collections.abc import Callable

import msgspec

from orchidpath.circuit.classification import AttemptObservation, Observed
from orchidpath.router.chat.backend_client import END_OF_BODY_SECONDS
from orchidpath.router.chat.backend_exchange import (
    AttemptError,
    OrderTarget,
    failed,
    failed_by_exception,
    require_echo,
    require_success,
)
from orchidpath.router.chat.backend_exchange import Exchange as OrderExchange
from orchidpath.routing.request import events
from orchidpath.simulation.environment import SimulatedProcess
from orchidpath.simulation.requests.exchange_messages import (
    EndOfBody,
    HttpError,
    HttpReply,
    StreamHead,
)
from orchidpath.simulation.requests.exchanges import Exchange
from orchidpath.wire.backend import (
    CallReply,
    DecodeFrame,
    ErrorEnvelope,
    FrameKind,
    PrefillReply,
)

ERROR_STATUS = 500
"""Any status but 200 stands for an error; its body says which."""

Post = Callable[[events.RequestEvent], None]


class OrderReader:
    """One order from its connection to the end of its answer.

    Parameters
    ----------
    process
        The router; its timers are used.
    target
        Whose answer is expected, and how long its parts may take.
    post
        Takes the events.
    """

    def __init__(self, process: SimulatedProcess, target: OrderTarget, post: Post) -> None:
        self.is_over = False
        self._process = process
        self._order = OrderExchange(target, lambda: None)
        self._target = target
        self._post = post
        self._exchange: Exchange | None = None
        self._has_content = False
        self._is_complete = False
        self._expected_by = 0

    def connect_failed(self) -> None:
        """Tell that no connection was made: the order never left."""
        if not self.is_over:
            self._fail(failed_by_exception(self._order, Observed.CONNECT_FAILED, ConnectionError()))

    def read(self, exchange: Exchange) -> None:
        """Read the answer; the order leaves right after this."""
        self._exchange = exchange
        self._order.dispatch_left = True
        exchange.client.on_message = self._take
        exchange.client.on_broken = self._broken
        self._expect_within(self._target.first_answer_seconds, Observed.TIMED_OUT)

    def abort(self) -> None:
        """Read no further and close the connection."""
        self.is_over = True
        if self._exchange is not None:
            self._exchange.close_client()

    def _expect_within(self, seconds: float, observed: Observed) -> None:
        """Fail unless something of the expected kind comes in time."""
        self._expected_by += 1
        number = self._expected_by

        def elapsed() -> None:
            if not self.is_over and number == self._expected_by:
                observation = AttemptObservation(observed=observed)
                self._fail(failed(self._order, observation, observed.value, None))

        self._process.after(seconds, elapsed)

    def _broken(self) -> None:
        if not self.is_over:
            self._fail(
                failed_by_exception(self._order, Observed.CONNECTION_RESET, ConnectionError())
            )

    def _fail(self, event: events.RequestEvent) -> None:
        self.abort()
        self._post(event)

    def _take(self, message: object) -> None:
        if self.is_over:
            return
        try:
            self._judge(message)
        except AttemptError as failure:
            self._fail(failed(self._order, failure.observation, str(failure), failure.error))

    def _judge(self, message: object) -> None:
        match message:
            case HttpError():
                self._order.echoed_attempt_id = message.echoed_attempt_id
                envelope = ErrorEnvelope(error=message.error)
                require_success(self._order, ERROR_STATUS, msgspec.json.encode(envelope))
            case HttpReply():
                self._order.echoed_attempt_id = message.echoed_attempt_id
                self._complete_body(message.reply)
            case StreamHead():
                self._order.echoed_attempt_id = message.echoed_attempt_id
                require_echo(self._order, self._target.request_id, message.echoed_attempt_id)
            case DecodeFrame():
                self._frame(message)
            case EndOfBody():
                self.abort()
                self._post(events.DecodeEnded(attempt_id=self._target.attempt_id))
            case _:
                pass

    def _complete_body(self, reply: object) -> None:
        assert isinstance(reply, PrefillReply | CallReply)
        require_echo(self._order, reply.request_id, reply.attempt_id)
        self.abort()
        attempt_id = self._target.attempt_id
        if isinstance(reply, PrefillReply):
            self._post(
                events.PrefillSucceeded(
                    attempt_id=attempt_id, request_id=reply.request_id, handle=reply.handle
                )
            )
            return
        self._post(
            events.CallReplied(
                attempt_id=attempt_id,
                replied_request_id=reply.request_id,
                replied_attempt_id=reply.attempt_id,
                body=bytes(reply.body),
            )
        )

    def _frame(self, frame: DecodeFrame) -> None:
        # Roles, usage and keepalives don't stop the clock of the first token.
        self._has_content = self._has_content or frame.kind is FrameKind.CONTENT
        self._is_complete = self._is_complete or frame.kind is FrameKind.DONE
        if self._is_complete:
            self._expect_within(END_OF_BODY_SECONDS, Observed.STALLED)
        elif self._has_content:
            self._expect_within(self._target.stall_seconds, Observed.STALLED)
        self._post(events.DecodeFrameReceived(attempt_id=self._target.attempt_id, frame=frame))
