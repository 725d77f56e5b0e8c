"""Reader that converts the response to one dispatch on a simulated exchange into events.

It applies the same timeouts and checks as
:class:`orchidpath.router.chat.backend_client.BackendClient`.
"""

from collections.abc import Callable

import msgspec

from orchidpath.circuit.classification import AttemptObservation, Observed
from orchidpath.router.chat.backend_client import END_OF_BODY_SECONDS
from orchidpath.router.chat.backend_exchange import (
    AttemptError,
    DispatchTarget,
    failed,
    failed_by_exception,
    require_echo,
    require_success,
)
from orchidpath.router.chat.backend_exchange import Exchange as BackendExchange
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
"""HTTP status of every simulated error; the error body carries the error code."""

Post = Callable[[events.RequestEvent], None]


class ResponseReader:
    """Handles one dispatch from the connection to the end of the response.

    Parameters
    ----------
    process
        Router whose timers are used.
    target
        Expected ids of the response, and its timeouts.
    post
        Receives the events.
    """

    def __init__(self, process: SimulatedProcess, target: DispatchTarget, post: Post) -> None:
        self.is_over = False
        self._process = process
        self._backend_exchange = BackendExchange(target, lambda: None)
        self._target = target
        self._post = post
        self._exchange: Exchange | None = None
        self._has_content = False
        self._is_complete = False
        self._timer_number = 0

    def connect_failed(self) -> None:
        """Report that no connection was made, so that nothing was sent."""
        if not self.is_over:
            self._fail(
                failed_by_exception(
                    self._backend_exchange, Observed.CONNECT_FAILED, ConnectionError()
                )
            )

    def read(self, exchange: Exchange) -> None:
        """Start to read the response; the caller sends the dispatch right after this call."""
        self._exchange = exchange
        self._backend_exchange.dispatch_left = True
        exchange.client.on_message = self._receive
        exchange.client.on_broken = self._broken
        self._expect_within(self._target.first_answer_seconds, Observed.TIMED_OUT)

    def abort(self) -> None:
        """Stop reading and close the connection."""
        self.is_over = True
        if self._exchange is not None:
            self._exchange.close_client()

    def _expect_within(self, seconds: float, observed: Observed) -> None:
        """Fail the attempt unless this method or :meth:`abort` is called again within the time."""
        self._timer_number += 1
        number = self._timer_number

        def elapsed() -> None:
            if not self.is_over and number == self._timer_number:
                observation = AttemptObservation(observed=observed)
                self._fail(failed(self._backend_exchange, observation, observed.value, None))

        self._process.after(seconds, elapsed)

    def _broken(self) -> None:
        if not self.is_over:
            self._fail(
                failed_by_exception(
                    self._backend_exchange, Observed.CONNECTION_RESET, ConnectionError()
                )
            )

    def _fail(self, event: events.RequestEvent) -> None:
        self.abort()
        self._post(event)

    def _receive(self, message: object) -> None:
        if self.is_over:
            return
        try:
            self._handle_message(message)
        except AttemptError as failure:
            self._fail(
                failed(self._backend_exchange, failure.observation, str(failure), failure.error)
            )

    def _handle_message(self, message: object) -> None:
        match message:
            case HttpError():
                self._backend_exchange.echoed_attempt_id = message.echoed_attempt_id
                envelope = ErrorEnvelope(error=message.error)
                require_success(self._backend_exchange, ERROR_STATUS, msgspec.json.encode(envelope))
            case HttpReply():
                self._backend_exchange.echoed_attempt_id = message.echoed_attempt_id
                self._complete_body(message.reply)
            case StreamHead():
                self._backend_exchange.echoed_attempt_id = message.echoed_attempt_id
                require_echo(
                    self._backend_exchange, self._target.request_id, message.echoed_attempt_id
                )
            case DecodeFrame():
                self._handle_frame(message)
            case EndOfBody():
                self.abort()
                self._post(events.DecodeEnded(attempt_id=self._target.attempt_id))
            case _:
                pass

    def _complete_body(self, reply: object) -> None:
        assert isinstance(reply, PrefillReply | CallReply)
        require_echo(self._backend_exchange, reply.request_id, reply.attempt_id)
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

    def _handle_frame(self, frame: DecodeFrame) -> None:
        # Role, usage and keepalive frames don't stop the time-out of the first token.
        self._has_content = self._has_content or frame.kind is FrameKind.CONTENT
        self._is_complete = self._is_complete or frame.kind is FrameKind.DONE
        if self._is_complete:
            self._expect_within(END_OF_BODY_SECONDS, Observed.STALLED)
        elif self._has_content:
            self._expect_within(self._target.stall_seconds, Observed.STALLED)
        self._post(events.DecodeFrameReceived(attempt_id=self._target.attempt_id, frame=frame))
