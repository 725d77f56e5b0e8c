"""Emulated back ends on loopback and a typed HTTP client, shared by the emulator tests."""

import contextlib
import random
from collections.abc import AsyncIterator
from typing import TypeVar

import aiohttp
import msgspec

from orchidpath.emulators.backend.backend_shell import BackendSettings, BackendShell
from orchidpath.emulators.backend.injected_faults import Fault, FaultKind
from orchidpath.emulators.backend.reports import BackendReport
from orchidpath.emulators.plain_service import PlainService, ServiceTiming
from orchidpath.emulators.worker.engine_model import WorkerTiming
from orchidpath.emulators.worker.model_worker import ModelWorker
from orchidpath.wire.backend import (
    ATTEMPT_HEADER,
    CacheHandle,
    CallRequest,
    DecodeFrame,
    DecodeRequest,
    ErrorBody,
    ErrorEnvelope,
    PrefillReply,
    PrefillRequest,
)
from orchidpath.wire.records import Stage, WorkerRecord

T = TypeVar("T")
MODEL = "wine"
FAST = WorkerTiming(
    prefill_tokens_per_second=1e6,
    prefill_overhead_seconds=0.0,
    decode_tokens_per_second=2000.0,
    link_bytes_per_second=1e12,
)


class Answer(msgspec.Struct, kw_only=True):
    """One complete response of a back end."""

    status: int
    attempt_header: str
    body: bytes
    clean_end: bool = True

    @property
    def error(self) -> ErrorBody:
        return msgspec.json.decode(self.body, type=ErrorEnvelope).error

    @property
    def frames(self) -> list[DecodeFrame]:
        events = [part for part in self.body.split(b"\n\n") if part.startswith(b"data: ")]
        return [msgspec.json.decode(event[6:], type=DecodeFrame) for event in events]

    def decode(self, kind: type[T]) -> T:
        return msgspec.json.decode(self.body, type=kind)


def make_record(worker_id: str, stage: Stage, incarnation: str = "i1") -> WorkerRecord:
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service="cellar",
        stage=stage,
        url="",
        models=() if stage is Stage.PLAIN else (MODEL,),
    )


@contextlib.asynccontextmanager
async def running(backend: BackendShell) -> AsyncIterator[BackendShell]:
    await backend.start()
    try:
        yield backend
    finally:
        await backend.stop()


def make_worker(
    worker_id: str, stage: Stage, timing: WorkerTiming = FAST, announce: tuple[str, ...] = ()
) -> ModelWorker:
    settings = BackendSettings(announce=announce, drain_seconds=2.0)
    return ModelWorker(make_record(worker_id, stage), settings, timing)


def make_service(median_seconds: float = 0.001, max_in_flight: int = 64) -> PlainService:
    timing = ServiceTiming(
        median_seconds=median_seconds, sigma=0.0, maximum_seconds=60.0, max_in_flight=max_in_flight
    )
    record = make_record("stock-1", Stage.PLAIN)
    return PlainService(record, BackendSettings(), timing, random.Random(1))


class BackendClient:
    """Sends the requests of a router to back ends."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def post(self, url: str, value: object) -> Answer:
        async with self.session.post(url, data=msgspec.json.encode(value)) as response:
            body = b""
            clean_end = True
            try:
                async for chunk in response.content.iter_any():
                    body += chunk
            except aiohttp.ClientPayloadError:
                clean_end = False
            header = response.headers.get(ATTEMPT_HEADER, "")
            return Answer(
                status=response.status, attempt_header=header, body=body, clean_end=clean_end
            )

    async def prefill(
        self, worker: BackendShell, request_id: str, attempt_id: str, prompt: str = "a b c"
    ) -> Answer:
        dispatch = PrefillRequest(
            request_id=request_id, attempt_id=attempt_id, model=MODEL, prompt=prompt
        )
        return await self.post(f"{worker.url}/v1/prefill", dispatch)

    async def prefill_handle(
        self, worker: BackendShell, request_id: str, attempt_id: str
    ) -> CacheHandle:
        answer = await self.prefill(worker, request_id, attempt_id)
        return answer.decode(PrefillReply).handle

    async def decode(
        self,
        worker: BackendShell,
        handle: CacheHandle,
        request_id: str,
        attempt_id: str,
        max_tokens: int = 8,
    ) -> Answer:
        dispatch = DecodeRequest(
            request_id=request_id,
            attempt_id=attempt_id,
            model=MODEL,
            handle=handle,
            max_tokens=max_tokens,
        )
        return await self.post(f"{worker.url}/v1/decode", dispatch)

    async def call(self, worker: BackendShell, request_id: str, attempt_id: str) -> Answer:
        dispatch = CallRequest(
            request_id=request_id, attempt_id=attempt_id, method="GET", path="/stock/7"
        )
        return await self.post(f"{worker.url}/v1/call", dispatch)

    async def inject(self, worker: BackendShell, kind: FaultKind, **fields: object) -> None:
        fault = msgspec.convert({"kind": kind.value, **fields}, type=Fault)
        answer = await self.post(f"{worker.url}/v1/faults", fault)
        assert answer.status == 200

    async def status(self, worker: BackendShell) -> BackendReport:
        async with self.session.get(f"{worker.url}/v1/status") as response:
            return msgspec.json.decode(await response.read(), type=BackendReport)


@contextlib.asynccontextmanager
async def backend_client() -> AsyncIterator[BackendClient]:
    timeout = aiohttp.ClientTimeout(total=10)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield BackendClient(session)
