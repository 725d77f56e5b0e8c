"""The asyncio HTTP server shared by emulated model workers and plain services."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from typing import IO

import aiohttp
import msgspec
from aiohttp import web
from aiohttp.typedefs import Middleware

from orchidpath.emulators.backend.announce_loop import AnnounceLoop
from orchidpath.emulators.backend.announcing import Announcer
from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.backend_core import AttemptDispatch, BackendCore
from orchidpath.emulators.backend.http_exchange import (
    MAX_BODY_BYTES,
    abort_connection,
    error_response,
    json_response,
    read_struct,
)
from orchidpath.emulators.backend.injected_faults import Fault, FaultBoard, FaultKind, FaultReply
from orchidpath.emulators.backend.polling import wait_until
from orchidpath.wire.backend import (
    ErrorCode,
    Ran,
    WorkerCommand,
    WorkerCommandKind,
)
from orchidpath.wire.records import WorkerRecord

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

ALWAYS_ANSWERED_PATHS = frozenset({"/v1/faults", "/v1/status", "/v1/executions"})
"""Endpoints for the test harness, answered even while GO_DARK is active."""

ANNOUNCE_DRAINING_SECONDS = 1.0
"""Longest time for which a terminating process waits until its DRAINING record is acknowledged."""

CRASH_STATUS = 70
"""Exit status of an injected crash."""


class BackendSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Listening address, announcement addresses and drain time of a back end.

    ``announce`` lists the addresses that receive the announcements. ``execution_log`` names a file
    to which the start of every phase is appended before its work begins, so that the record
    survives a killed process.
    """

    host: str = "127.0.0.1"
    port: int = 0
    announce: tuple[str, ...] = ()
    drain_seconds: float = 10.0
    execution_log: str = ""


class BackendShell:
    """HTTP server with the endpoints of every back end; subclasses add their own endpoints.

    Parameters
    ----------
    record : WorkerRecord
        Record that the back end announces. The URL is filled in once the port is known.
    settings : BackendSettings
        Listening address, announcement addresses and drain time.
    max_in_flight : int
        Maximum number of attempts in progress at once.
    """

    def __init__(self, record: WorkerRecord, settings: BackendSettings, max_in_flight: int) -> None:
        self.core = BackendCore(record, max_in_flight)
        self.faults = FaultBoard()
        self.settings = settings
        self._announce_loop: AnnounceLoop | None = None
        self._announce_task: asyncio.Task[None] | None = None
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self._log_file: IO[bytes] | None = None

    @property
    def url(self) -> str:
        """The base URL, known after :meth:`start`."""
        return self.core.record.url

    @property
    def session(self) -> aiohttp.ClientSession:
        """The client session for announcements and KV transfers."""
        if self._session is None:
            # Connections are never reused: aiohttp may resend a GET by itself when a reused
            # connection breaks, and a KV handle is valid for one request only.
            connector = aiohttp.TCPConnector(force_close=True, limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    async def start(self) -> str:
        """Start listening and announcing, and return the base URL."""
        if self.settings.execution_log:
            self._log_file = open(self.settings.execution_log, "ab", buffering=0)  # noqa: ASYNC230, SIM115
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._unresponsive_middleware()]
        )
        self.add_routes(app)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.settings.host, self.settings.port).start()
        port = self._runner.addresses[0][1]
        self.core.set_url(f"http://{self.settings.host}:{port}")
        self._begin_to_announce()
        return self.url

    def _begin_to_announce(self) -> None:
        announcer = Announcer(self.core.record.worker_id, list(self.settings.announce))
        self._announce_loop = AnnounceLoop(
            announcer, self.session, lambda: self.core.record, self._is_silent
        )
        self._announce_task = asyncio.create_task(self._announce_loop.run())

    def announce_change(self) -> None:
        """Announce the record at once if it has changed."""
        if self._announce_loop is not None:
            self._announce_loop.wake()

    def _is_record_acknowledged(self) -> bool:
        return self._announce_loop is None or self._announce_loop.is_acknowledged(self.core.record)

    async def stop(self) -> None:
        """Stop listening and announcing."""
        if self._announce_task is not None:
            self._announce_task.cancel()
            await asyncio.gather(self._announce_task, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()
        if self._log_file is not None:
            self._log_file.close()

    async def drain_and_stop(self) -> None:
        """Announce DRAINING, wait at most ``drain_seconds`` for running work, then stop."""
        self.core.terminate()
        self.announce_change()
        deadline = self.now() + self.settings.drain_seconds
        await wait_until(
            self._is_record_acknowledged, min(deadline, self.now() + ANNOUNCE_DRAINING_SECONDS)
        )
        await wait_until(lambda: not self._has_unfinished_work(), deadline)
        await self.stop()

    def add_routes(self, app: web.Application) -> None:
        """Add the endpoints shared by every back end; subclasses extend this."""
        app.router.add_post("/v1/attempts/{attempt_id}/cancel", self._cancel)
        app.router.add_post("/v1/orders", self._orders)
        app.router.add_get("/v1/status", self._status)
        app.router.add_get("/v1/executions", self._executions)
        app.router.add_post("/v1/faults", self._post_fault)

    def now(self) -> float:
        """Return the monotonic time of the running event loop in seconds."""
        return asyncio.get_running_loop().time()

    def handles_outstanding(self) -> int:
        """Return the number of KV caches held for a KV transfer."""
        return 0

    def on_cancelled(self, attempt_id: str) -> None:
        """Release the resources of a cancelled attempt; called after every cancellation."""

    def on_stage_set(self) -> None:
        """Discard the state of the previous stage; called after a stage change."""

    def expire_handles(self) -> None:
        """Expire every KV handle."""

    async def admitted(
        self, dispatch: AttemptDispatch, work: Callable[[], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        """Run work under admission control.

        Parameters
        ----------
        dispatch : AttemptDispatch
            The attempt to admit.
        work : callable
            Called when the attempt was admitted. Its in-flight slot is released afterwards.

        Returns
        -------
        web.StreamResponse
            The response of ``work``, or the refusal.
        """
        refuse_all = self.faults.take(FaultKind.REFUSE_ALL, self.now()) is not None
        refusal = self.core.admit(dispatch, self.now(), refuse_all)
        if refusal is not None:
            return error_response(refusal)
        try:
            return await work()
        finally:
            self.core.leave(dispatch, self.now())

    def begin(self, dispatch: AttemptDispatch) -> web.Response | None:
        """Start an admitted attempt and log it.

        Returns
        -------
        web.Response or None
            None when the attempt has started, the refusal when it was cancelled before.
        """
        if self.core.start(dispatch, self.now()):
            record = self.core.log.add(dispatch.phase, dispatch.request_id, dispatch.attempt_id)
            if self._log_file is not None:
                self._log_file.write(msgspec.json.encode(record) + b"\n")
            return None
        ran = self.core.attempts.ran(dispatch.attempt_id, dispatch.phase)
        return error_response(
            self.core.error(dispatch, ErrorCode.ATTEMPT_REFUSED, "cancelled before its start", ran)
        )

    async def apply_response_faults(
        self, request: web.Request, dispatch: AttemptDispatch
    ) -> web.Response | None:
        """Apply the faults that act after the work and before its response.

        Returns
        -------
        web.Response or None
            The response that an injected fault substitutes, or None.
        """
        late = self.faults.take(FaultKind.ANSWER_LATE, self.now())
        if late is not None:
            await asyncio.sleep(late.delay_seconds)
        if self.faults.take(FaultKind.FAIL_NEXT, self.now()) is not None:
            error = self.core.error(dispatch, ErrorCode.INTERNAL, "injected failure", Ran.UNKNOWN)
            return error_response(error)
        # The TRUNCATE fault aborts a stream later, after some of its frames.
        streamed = dispatch.phase is Phase.EXECUTION and self.streams()
        if not streamed and self.faults.take(FaultKind.TRUNCATE, self.now()) is not None:
            abort_connection(request)
            return web.Response()
        return None

    def streams(self) -> bool:
        """Return whether executions are answered by a stream."""
        return False

    def answer_identity(self, dispatch: AttemptDispatch) -> AttemptDispatch:
        """Return the attempt whose ids the response carries.

        This is the attempt itself, or a different one while WRONG_ATTEMPT_ECHO is active.
        """
        if self.faults.take(FaultKind.WRONG_ATTEMPT_ECHO, self.now()) is None:
            return dispatch
        return msgspec.structs.replace(
            dispatch,
            request_id=f"{dispatch.request_id}-other",
            attempt_id=f"{dispatch.attempt_id}-other",
        )

    def _has_unfinished_work(self) -> bool:
        return self.core.limit.current > 0 or self.handles_outstanding() > 0

    def _is_silent(self) -> bool:
        dark = self.faults.active(FaultKind.GO_DARK, self.now())
        return dark is not None and not dark.keep_announcing

    def _unresponsive_middleware(self) -> Middleware:
        @web.middleware
        async def delay_while_unresponsive(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            if request.path not in ALWAYS_ANSWERED_PATHS:
                await self.wait_while(FaultKind.GO_DARK)
            return await handler(request)

        return delay_while_unresponsive

    async def wait_while(self, kind: FaultKind) -> None:
        """Wait until no fault of this kind is active."""
        await wait_until(lambda: self.faults.active(kind, self.now()) is None)

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.match_info["attempt_id"]
        reply = self.core.cancel(attempt_id, self.now())
        self.on_cancelled(attempt_id)
        return json_response(reply, attempt_id=attempt_id)

    async def _orders(self, request: web.Request) -> web.StreamResponse:
        command = await read_struct(request, WorkerCommand)
        reply = self.core.execute(command, self.handles_outstanding())
        if reply.accepted and command.kind is WorkerCommandKind.SET_STAGE:
            self.on_stage_set()
        self.announce_change()
        return json_response(reply)

    async def _status(self, request: web.Request) -> web.StreamResponse:
        return json_response(self.core.report(self.handles_outstanding()))

    async def _executions(self, request: web.Request) -> web.StreamResponse:
        after = request.query.get("after", "0")
        return json_response(self.core.log.after(int(after) if after.isdecimal() else 0))

    async def _post_fault(self, request: web.Request) -> web.StreamResponse:
        fault = await read_struct(request, Fault)
        self._inject(fault)
        return json_response(FaultReply(active=self.faults.list_active(self.now())))

    def _inject(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.CRASH:
                os._exit(CRASH_STATUS)
            case FaultKind.EXPIRE_HANDLES:
                self.expire_handles()
            case FaultKind.CLEAR:
                self.faults.clear()
            case FaultKind.DRAIN:
                self.core.drain()
            case FaultKind.RESUME:
                self.core.resume()
            case _:
                self.faults.add(fault, self.now())
        self.announce_change()
