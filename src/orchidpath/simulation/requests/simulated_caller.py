"""Simulated callers: open-loop arrivals of requests of all kinds.

Some callers disconnect early. A caller submits a request again only after a failed connection, or
after an error with ``ran=no`` and a retry-after. Each caller checks that it receives its own
response, complete and in order, or an explicit error.
"""

import msgspec

from orchidpath.emulators.backend.answers import expected_text, is_expected_call_body
from orchidpath.simulation.environment import SimulatedEnvironment, SimulatedProcess
from orchidpath.simulation.fleet_checks import InvariantError
from orchidpath.simulation.requests.exchange_messages import (
    MODEL_KINDS,
    Broken,
    CallerRequest,
    Finished,
    Refused,
    Relayed,
    RequestKind,
)
from orchidpath.simulation.requests.exchanges import Exchange, Exchanges
from orchidpath.simulation.requests.path_checks import RequestHistory
from orchidpath.simulation.requests.path_guards import PathGuard
from orchidpath.simulation.requests.serving_router import ServingRouter
from orchidpath.wire.backend import FrameKind, Ran
from orchidpath.wire.messages import Message

ADDRESS = "callers"
EARLY_DISCONNECT_FRACTION = 0.05
MAX_RESUBMISSIONS = 2
MAX_PAUSE_SECONDS = 3.0
TENANTS = 4

DEADLINES_SECONDS = (2.0, 6.0, 6.0)


class Callers(SimulatedProcess):
    """All callers of a run, in one process because no scenario crashes a caller.

    Parameters
    ----------
    environment
        Simulated environment of the run.
    exchanges
        Opens the connections to routers.
    routers
        Routers that may receive requests.
    history
        Counts the outcomes of requests.
    guards
        Guards of the request path that are disabled.
    """

    def __init__(
        self,
        environment: SimulatedEnvironment,
        exchanges: Exchanges,
        routers: list[ServingRouter],
        history: RequestHistory,
        guards: frozenset[PathGuard],
    ) -> None:
        super().__init__(environment, ADDRESS)
        self.requests_per_second = 0.0
        self.exchanges = exchanges
        self.routers = routers
        self.history = history
        self.guards = guards
        self._number = 0

    @property
    def node_id(self) -> str:
        """Address that all callers share."""
        return self.address

    def on_start(self) -> None:
        """Start the arrivals of requests."""
        self._next_arrival()

    def on_kill(self) -> None:
        """Do nothing; scenarios never kill the callers."""

    def on_message(self, sender_id: str, message: Message) -> None:
        """Ignore the message; callers communicate over exchanges only."""

    def burst(self, count: int) -> None:
        """Submit ``count`` new requests immediately."""
        for _ in range(count):
            self._arrive()

    def _next_arrival(self) -> None:
        rate = self.requests_per_second
        if rate <= 0:
            self.after(0.1, self._next_arrival)
            return
        self._arrive()
        self.after(self.environment.random.expovariate(rate), self._next_arrival)

    def _arrive(self) -> None:
        random = self.environment.random
        self._number += 1
        kind = random.choice(tuple(RequestKind))
        request = CallerRequest(
            request_id=f"request-{self._number}",
            submission=1,
            kind=kind,
            streaming=kind in MODEL_KINDS and random.random() < 0.7,
            max_tokens=random.choice((4, 16, 40)),
            deadline_seconds=random.choice(DEADLINES_SECONDS),
            prompt=f"conversation {random.randrange(8)}",
            tenant=f"tenant-{random.randrange(TENANTS)}",
        )
        SimulatedCaller(self, request).submit()


class SimulatedCaller:
    """One request of one caller, with all its submissions.

    Parameters
    ----------
    callers
        Process that the caller runs in.
    request
        The request to submit.
    """

    def __init__(self, callers: Callers, request: CallerRequest) -> None:
        self._callers = callers
        self._request = request
        self._counts = callers.history.counts
        self._texts: list[str] = []
        self._expected = expected_text(request.request_id, request.max_tokens)
        self._is_over = False

    def submit(self) -> None:
        """Send the request to a router that is selected at random."""
        router = self._callers.environment.random.choice(self._callers.routers)
        self._texts.clear()
        self._is_over = False
        self._callers.exchanges.connect(
            self._callers,
            router.address,
            lambda exchange: self._connected(exchange, router),
            lambda: self._retry_later(0.2),
        )

    def _connected(self, exchange: Exchange, router: ServingRouter) -> None:
        request = self._request
        exchange.server.on_message = lambda _message: router.accept(exchange, request)
        exchange.client.on_message = lambda message: self._receive(exchange, message)
        exchange.client.on_broken = self._connection_lost
        exchange.send(request)
        if self._callers.environment.random.random() < EARLY_DISCONNECT_FRACTION:
            seconds = self._callers.environment.random.uniform(0.0, 1.0)
            self._callers.after(seconds, lambda: self._disconnect_early(exchange))

    def _disconnect_early(self, exchange: Exchange) -> None:
        # This disconnect was scheduled for one submission; a later one may have begun by now.
        if exchange.client.is_open and not self._is_over:
            self._is_over = True
            self._counts.left += 1
            exchange.close_client()

    def _receive(self, exchange: Exchange, message: object) -> None:
        if self._is_over:
            raise InvariantError(f"{self._request.request_id} got more after its end")
        match message:
            case Relayed():
                self._read(message)
                return
            case Finished():
                self._check_complete(message)
                self._counts.completed += 1
            case Refused():
                self._refused(message)
            case Broken():
                self._counts.broken += 1
            case _:
                return
        self._is_over = True
        exchange.close_client()

    def _read(self, relayed: Relayed) -> None:
        request_id = self._request.request_id
        for frame in relayed.frames:
            if frame.request_id != request_id:
                raise InvariantError(f"{request_id} got a frame of {frame.request_id}")
            if frame.kind is FrameKind.CONTENT:
                self._texts.append(frame.text)
        if not self._expected.startswith("".join(self._texts)):
            raise InvariantError(f"{request_id} got a stream with a part missing or out of order")

    def _check_complete(self, finished: Finished) -> None:
        request = self._request
        if request.kind not in MODEL_KINDS:
            body = finished.body or b""
            if not is_expected_call_body(body, request.request_id, "POST", "/"):
                raise InvariantError(f"{request.request_id} got another call's answer")
            return
        text = "".join(self._texts) if request.streaming else finished.text
        if text != self._expected:
            raise InvariantError(
                f"{request.request_id} received a partial response that looks complete"
            )

    def _refused(self, refused: Refused) -> None:
        self._counts.refused += 1
        is_strict = PathGuard.STRICT_CALLER not in self._callers.guards
        if refused.error.ran is not Ran.NO and is_strict:
            return
        if refused.error.retry_after_seconds is not None:
            self._retry_later(refused.error.retry_after_seconds)

    def _connection_lost(self) -> None:
        if self._is_over:
            return
        # The request may have run, so a strict caller never submits it again.
        self._is_over = True
        self._counts.unknown += 1

    def _retry_later(self, seconds: float) -> None:
        if self._request.submission > MAX_RESUBMISSIONS:
            return
        self._request = msgspec.structs.replace(
            self._request, submission=self._request.submission + 1
        )
        pause = min(seconds, MAX_PAUSE_SECONDS) * self._callers.environment.random.uniform(1.0, 1.2)
        self._callers.after(pause, self.submit)
