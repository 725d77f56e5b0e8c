"""Fake back ends and a fake fleet around one real HTTP edge, over loopback."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Sequence
from contextlib import asynccontextmanager
from itertools import count
from random import Random

import aiohttp
import msgspec
from aiohttp import web

from orchidpath.common.clock import monotonic_seconds
from orchidpath.common.settings import RouterSettings
from orchidpath.router.chat.http_edge import EdgeServer, create_edge
from orchidpath.router.fleet_link.fleet_access import FleetAccess
from orchidpath.router.observability.decision_recorder import DecisionRecorder
from orchidpath.wire.backend import (
    ATTEMPT_HEADER,
    Announcement,
    AnnouncementReply,
    CacheHandle,
    CallReply,
    CallRequest,
    CancelReply,
    DecodeFrame,
    DecodeRequest,
    ErrorBody,
    ErrorCode,
    ErrorEnvelope,
    FrameKind,
    PrefillReply,
    PrefillRequest,
    Ran,
)
from orchidpath.wire.configuration import (
    AdmissionPolicy,
    Configuration,
    RetryPolicy,
    Route,
    Service,
    ServiceKind,
)
from orchidpath.wire.messages import (
    AttemptEffect,
    AttemptReport,
    CapacityObserved,
    Choice,
    DecisionReply,
    DecisionRequest,
    StageCandidates,
)
from orchidpath.wire.records import FleetView, Stage, WorkerRecord

COMPLETE_STREAM = (
    FrameKind.ROLE,
    FrameKind.CONTENT,
    FrameKind.CONTENT,
    FrameKind.USAGE,
    FrameKind.DONE,
)

BackendRequest = PrefillRequest | DecodeRequest | CallRequest
Script = Callable[[web.Request, BackendRequest], Awaitable[web.StreamResponse]]


class FakeBackend:
    """Back end that records its requests; it responds by a script, or successfully without one."""

    def __init__(self, worker_id: str, stage: Stage) -> None:
        self.worker_id = worker_id
        self.stage = stage
        self.scripts: deque[Script] = deque()
        self.dispatches: list[BackendRequest] = []
        self.ports: list[int] = []
        self.transports: list[asyncio.Transport] = []
        self.frames_sent = 0
        self.cancelled: list[str] = []
        self.cancel_ran = Ran.NO
        self.url = ""
        self._runner: web.AppRunner | None = None

    @property
    def record(self) -> WorkerRecord:
        service = "stock" if self.stage is Stage.PLAIN else "wine"
        return WorkerRecord(
            worker_id=self.worker_id,
            incarnation="1",
            service=service,
            stage=self.stage,
            url=self.url,
            models=("wine",),
        )

    async def start(self) -> None:
        application = web.Application()
        application[WORKER] = self
        application.router.add_post("/v1/prefill", self._endpoint(PrefillRequest, self._prefill))
        application.router.add_post("/v1/decode", self._endpoint(DecodeRequest, self._decode))
        application.router.add_post("/v1/call", self._endpoint(CallRequest, self._call))
        application.router.add_post("/v1/attempts/{attempt_id}/cancel", self._cancel)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        assert self._runner is not None
        await self._runner.cleanup()

    def _endpoint(
        self, kind: type[BackendRequest], answer: Script
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def handler(request: web.Request) -> web.StreamResponse:
            dispatch = msgspec.json.decode(await request.read(), type=kind)
            assert request.headers[ATTEMPT_HEADER] == dispatch.attempt_id
            self.dispatches.append(dispatch)
            assert request.transport is not None
            self.ports.append(request.transport.get_extra_info("peername")[1])
            self.transports.append(request.transport)
            script = self.scripts.popleft() if self.scripts else answer
            return await script(request, dispatch)

        return handler

    async def answer_normally(
        self, request: web.Request, dispatch: BackendRequest
    ) -> web.StreamResponse:
        """Answer successfully, as without a script."""
        if isinstance(dispatch, PrefillRequest):
            return await self._prefill(request, dispatch)
        if isinstance(dispatch, DecodeRequest):
            return await self._decode(request, dispatch)
        return await self._call(request, dispatch)

    async def _prefill(self, _request: web.Request, dispatch: BackendRequest) -> web.StreamResponse:
        handle = CacheHandle(
            handle_id="h",
            request_id=dispatch.request_id,
            attempt_id=dispatch.attempt_id,
            worker_id=self.worker_id,
            incarnation="1",
            url=self.url,
            prompt_tokens=7,
            expires_in_seconds=30.0,
        )
        reply = PrefillReply(
            request_id=dispatch.request_id,
            attempt_id=dispatch.attempt_id,
            handle=handle,
            cached_tokens=0,
        )
        return answer(reply, dispatch.attempt_id)

    async def _decode(self, request: web.Request, dispatch: BackendRequest) -> web.StreamResponse:
        return await frames(*COMPLETE_STREAM)(request, dispatch)

    async def _call(self, _request: web.Request, dispatch: BackendRequest) -> web.StreamResponse:
        assert isinstance(dispatch, CallRequest)
        reply = CallReply(
            request_id=dispatch.request_id,
            attempt_id=dispatch.attempt_id,
            body=msgspec.Raw(b'{"n":3}'),
        )
        return answer(reply, dispatch.attempt_id)

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.match_info["attempt_id"]
        self.cancelled.append(attempt_id)
        reply = CancelReply(attempt_id=attempt_id, ran=self.cancel_ran, incarnation="1")
        return answer(reply, attempt_id)


WORKER = web.AppKey("worker", FakeBackend)


def answer(value: msgspec.Struct, attempt_id: str, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), status=status, headers={ATTEMPT_HEADER: attempt_id}
    )


def reject(code: ErrorCode, ran: Ran) -> Script:
    """Return a script that answers with status 503 and an error body."""

    async def script(_request: web.Request, dispatch: BackendRequest) -> web.StreamResponse:
        error = ErrorBody(code=code, message="scripted", ran=ran, attempt_id=dispatch.attempt_id)
        return answer(ErrorEnvelope(error=error), dispatch.attempt_id, 503)

    return script


def response_to_another_attempt() -> Script:
    """Return a script that answers a call with the response to another attempt."""

    async def script(_request: web.Request, dispatch: BackendRequest) -> web.StreamResponse:
        reply = CallReply(request_id="other", attempt_id="other", body=msgspec.Raw(b'"stolen"'))
        return answer(reply, "other")

    return script


async def abort_connection(request: web.Request, _dispatch: BackendRequest) -> web.StreamResponse:
    """Abort the connection before any response."""
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def endless_stream_with_a_gap(
    request: web.Request, dispatch: BackendRequest
) -> web.StreamResponse:
    """Stream content frames without end, omitting the second frame."""
    return await stream_endlessly(request, dispatch, lost=1)


async def endless_stream(request: web.Request, dispatch: BackendRequest) -> web.StreamResponse:
    """Stream content frames without end."""
    return await stream_endlessly(request, dispatch, lost=None)


async def stream_endlessly(
    request: web.Request, dispatch: BackendRequest, lost: int | None
) -> web.StreamResponse:
    response = web.StreamResponse(headers={ATTEMPT_HEADER: dispatch.attempt_id})
    await response.prepare(request)
    for sequence in count():
        frame = DecodeFrame(
            request_id=dispatch.request_id,
            attempt_id=dispatch.attempt_id,
            sequence=sequence,
            kind=FrameKind.CONTENT,
            text="word ",
        )
        if sequence != lost:
            await response.write(b"data: " + msgspec.json.encode(frame) + b"\n\n")
            request.app[WORKER].frames_sent += 1
        await asyncio.sleep(0.005)
    return response


async def hang(_request: web.Request, _dispatch: BackendRequest) -> web.StreamResponse:
    """Never answer."""
    await asyncio.sleep(60)
    return web.Response()


def frames(
    *kinds: FrameKind,
    lost: int | None = None,
    attempt_id: str | None = None,
    then_hang: bool = False,
    text: str = "word ",
) -> Script:
    """Return a script that streams frames.

    ``lost`` is the sequence number of a frame to omit; ``attempt_id`` replaces the id in each.
    """

    async def script(request: web.Request, dispatch: BackendRequest) -> web.StreamResponse:
        response = web.StreamResponse(headers={ATTEMPT_HEADER: dispatch.attempt_id})
        await response.prepare(request)
        for sequence, kind in enumerate(kinds):
            if sequence == lost:
                continue
            frame = DecodeFrame(
                request_id=dispatch.request_id,
                attempt_id=attempt_id or dispatch.attempt_id,
                sequence=sequence,
                kind=kind,
                text=text if kind is FrameKind.CONTENT else "",
                completion_tokens=2 if kind is FrameKind.USAGE else 0,
            )
            await response.write(b"data: " + msgspec.json.encode(frame) + b"\n\n")
            request.app[WORKER].frames_sent += 1
        if then_hang:
            await asyncio.sleep(60)
        return response

    return script


class FakeFleet(FleetAccess):
    """Fleet with a fresh lease by default, whose leader chooses the first untried candidate."""

    def __init__(self, view: FleetView) -> None:
        self.current: FleetView | None = view
        self.fresh = True
        self.leader_answers = True
        self.decided_without_leader: dict[str, frozenset[str]] = {}
        self.draining: set[str] = set()
        self.requests: list[DecisionRequest] = []
        self.reports: list[AttemptReport] = []
        self.announced: list[Announcement] = []
        self.on_decide: Callable[[], None] = lambda: None

    def view(self) -> FleetView | None:
        return self.current

    def is_fresh(self, now: float) -> bool:
        return self.fresh

    def freshness_reason(self, now: float) -> str:
        return "" if self.fresh else "no lease"

    def seconds_until_fresh_hint(self) -> float:
        return 1.2

    async def decide(
        self, request: DecisionRequest, timeout_seconds: float
    ) -> DecisionReply | None:
        self.requests.append(request)
        self.on_decide()
        if not self.leader_answers:
            return None
        choices = tuple(
            Choice(stage=stage_candidates.stage, worker_id=first_choice(stage_candidates))
            for stage_candidates in request.per_stage
        )
        return DecisionReply(correlation=request.correlation, term=1, choices=choices)

    def record_local_decision(self, attempt_id: str, worker_ids: Collection[str]) -> None:
        self.decided_without_leader[attempt_id] = frozenset(worker_ids)

    def report(self, reports: Sequence[AttemptReport]) -> None:
        self.reports.extend(reports)

    def observe_capacity(self, observed: CapacityObserved) -> None:
        raise NotImplementedError

    async def announce(self, announcement: Announcement) -> AnnouncementReply:
        self.announced.append(announcement)
        return AnnouncementReply(accepted=True)

    def has_announced_draining(self, worker_id: str) -> bool:
        return worker_id in self.draining

    def effects(self, worker_id: str) -> list[AttemptEffect]:
        return [report.effect for report in self.reports if report.worker_id == worker_id]


def first_choice(stage_candidates: StageCandidates) -> str:
    """Return the first untried candidate, or the first candidate if all were tried."""
    untried = [
        worker_id
        for worker_id in stage_candidates.candidates
        if worker_id not in stage_candidates.tried
    ]
    return (untried or list(stage_candidates.candidates))[0]


class Site:
    """A running HTTP edge with its back ends, its fake fleet and a client session."""

    def __init__(
        self,
        backends: dict[str, FakeBackend],
        fleet: FakeFleet,
        recorder: DecisionRecorder | None = None,
    ) -> None:
        self.backends = backends
        self.fleet = fleet
        settings = RouterSettings(
            node_id="router",
            fleet="fleet",
            wire_address="127.0.0.1:0",
            http_address="127.0.0.1:0",
            seeds=[],
        )
        self.edge: EdgeServer = create_edge(settings, fleet, Random(7), monotonic_seconds, recorder)
        self.session = aiohttp.ClientSession()

    @property
    def url(self) -> str:
        return f"http://{self.edge.address}"

    def workers(self, letter: str) -> tuple[FakeBackend, FakeBackend]:
        """Return both workers of a stage: ``p`` (prefill), ``d`` (decode) or ``s`` (plain)."""
        return self.backends[f"{letter}1"], self.backends[f"{letter}2"]

    def add_script(self, letter: str, script: Script) -> None:
        """Make each worker of a stage answer one more request by a script."""
        for worker in self.workers(letter):
            worker.scripts.append(script)

    def dispatches(self, letter: str) -> list[BackendRequest]:
        """Return the requests that the workers of a stage received."""
        first, second = self.workers(letter)
        return first.dispatches + second.dispatches

    def post_chat(
        self, *, stream: bool = True, model: str = "wine", headers: dict[str, str] | None = None
    ) -> "aiohttp.client._RequestContextManager":
        body = {
            "model": model,
            "messages": [{"role": "user", "content": "Which wine?"}],
            "stream": stream,
            "max_tokens": 8,
        }
        url = f"{self.url}/v1/chat/completions"
        return self.session.post(url, json=body, headers=headers or {})


def view_of(
    backends: Sequence[FakeBackend], *, repeatable: bool, admission: AdmissionPolicy | None = None
) -> FleetView:
    configuration = Configuration(
        services=[
            Service(name="wine", kind=ServiceKind.MODEL, models=["wine"]),
            Service(name="stock", kind=ServiceKind.PLAIN),
        ],
        routes=[
            Route(
                name="wine",
                service="wine",
                model="wine",
                repeatable=repeatable,
                first_token_timeout_seconds=2.0,
                stall_timeout_seconds=0.2,
            ),
            Route(
                name="stock",
                service="stock",
                method="GET",
                path="/stock/{id}",
                repeatable=repeatable,
            ),
        ],
        retry=RetryPolicy(budget_minimum_per_second=100.0, backoff_base_seconds=0.001),
        admission=admission or AdmissionPolicy(),
    )
    return FleetView(
        revision=1,
        configuration_version=1,
        configuration=configuration,
        workers=tuple(backend.record for backend in backends),
    )


@asynccontextmanager
async def running_site(
    *,
    repeatable: bool = True,
    admission: AdmissionPolicy | None = None,
    recorder: DecisionRecorder | None = None,
) -> AsyncIterator[Site]:
    """Run an HTTP edge with two workers for each stage."""
    stages = {"p": Stage.PREFILL, "d": Stage.DECODE, "s": Stage.PLAIN}
    backends = {
        f"{letter}{number}": FakeBackend(f"{letter}{number}", stage)
        for letter, stage in stages.items()
        for number in (1, 2)
    }
    for backend in backends.values():
        await backend.start()
    view = view_of(list(backends.values()), repeatable=repeatable, admission=admission)
    site = Site(backends, FakeFleet(view), recorder)
    await site.edge.start()
    try:
        yield site
    finally:
        await site.session.close()
        await site.edge.stop(0.0)
        for backend in backends.values():
            await backend.stop()
