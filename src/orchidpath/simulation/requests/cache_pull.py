"""Pull of a KV cache by a simulated decode worker from the prefill worker that holds it."""

from collections.abc import Callable

from orchidpath.emulators.worker.kv_cache import HandleClaim
from orchidpath.emulators.worker.kv_pull import DENIALS
from orchidpath.simulation.environment import SimulatedProcess
from orchidpath.simulation.requests.exchange_messages import CacheMoved, HttpError, PullCache
from orchidpath.simulation.requests.exchanges import Exchange, Exchanges, open_server
from orchidpath.wire.backend import ErrorCode


class CachePull:
    """One KV transfer; it completes once, with None or with the error code of its failure.

    Parameters
    ----------
    process
        Decode worker that pulls the KV cache.
    exchanges
        Opens the connection to the prefill worker.
    on_done
        Called once with None after a success, or with the error code.
    """

    def __init__(
        self,
        process: SimulatedProcess,
        exchanges: Exchanges,
        on_done: Callable[[ErrorCode | None], None],
    ) -> None:
        self._process = process
        self._exchanges = exchanges
        self._on_done = on_done
        self._is_done = False

    def start(self, claim: HandleClaim, prefill_worker: str, timeout_seconds: float) -> None:
        """Request the KV cache from the prefill worker."""
        self._process.after(timeout_seconds, lambda: self._end(ErrorCode.UPSTREAM_FAILED))
        self._exchanges.connect(
            self._process,
            prefill_worker,
            lambda exchange: self._connected(exchange, claim),
            lambda: self._end(ErrorCode.UPSTREAM_FAILED),
        )

    def _connected(self, exchange: Exchange, claim: HandleClaim) -> None:
        def receive_reply(answer: object) -> None:
            exchange.close_client()
            self._handle_reply(answer)

        exchange.client.on_message = receive_reply
        exchange.client.on_broken = lambda: self._end(ErrorCode.UPSTREAM_FAILED)
        open_server(exchange)
        exchange.send(PullCache(claim=claim, decode_worker=self._process.address))

    def _handle_reply(self, answer: object) -> None:
        if isinstance(answer, CacheMoved):
            self._end(None)
        elif isinstance(answer, HttpError):
            code = answer.error.code
            self._end(code if code in DENIALS else ErrorCode.UPSTREAM_FAILED)

    def _end(self, failure: ErrorCode | None) -> None:
        if not self._is_done:
            self._is_done = True
            self._on_done(failure)
