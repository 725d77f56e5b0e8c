"""The asyncio server of an emulated model worker: prefills, KV transfers and decode streams."""

import asyncio

import msgspec
from aiohttp import web

from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.backend_core import AttemptDispatch
from orchidpath.emulators.backend.backend_shell import BackendSettings, BackendShell
from orchidpath.emulators.backend.http_exchange import (
    abort_connection,
    error_response,
    is_closed,
    json_response,
    read_struct,
)
from orchidpath.emulators.backend.injected_faults import Fault, FaultKind
from orchidpath.emulators.backend.polling import wait_until
from orchidpath.emulators.worker.engine_model import (
    SerialResource,
    WorkerTiming,
    decode_interval_seconds,
    prefill_seconds,
    transfer_bytes,
    transfer_seconds,
)
from orchidpath.emulators.worker.frames import StreamPlan, decode_frames
from orchidpath.emulators.worker.kv_cache import (
    HandleClaim,
    HandleTable,
    HandleVerdict,
    PrefixCache,
    block_keys,
    count_tokens,
)
from orchidpath.emulators.worker.kv_pull import CachePuller, KvTransfer
from orchidpath.wire.backend import (
    ATTEMPT_HEADER,
    CacheHandle,
    DecodeFrame,
    DecodeRequest,
    ErrorBody,
    ErrorCode,
    FrameKind,
    PrefillReply,
    PrefillRequest,
    Ran,
)
from orchidpath.wire.records import Stage, WorkerRecord

VERDICT_CODES = {
    HandleVerdict.EXPIRED: ErrorCode.HANDLE_EXPIRED,
    HandleVerdict.MISMATCH: ErrorCode.HANDLE_MISMATCH,
}


class ModelWorker(BackendShell):
    """One emulated model worker.

    Parameters
    ----------
    record : WorkerRecord
        Record that the worker announces.
    settings : BackendSettings
        Listening address, announcement addresses and drain time.
    timing : WorkerTiming
        Rates, capacities and time limits.
    """

    def __init__(
        self, record: WorkerRecord, settings: BackendSettings, timing: WorkerTiming
    ) -> None:
        super().__init__(record, settings, timing.max_in_flight)
        self._timing = timing
        self._cache = PrefixCache(timing.cache_capacity_tokens)
        self._handles = HandleTable(record.incarnation, timing.handle_lifetime_seconds)
        self._processor = SerialResource()
        self._link = SerialResource()
        self._streams = 0
        self._transfers = 0

    def add_routes(self, app: web.Application) -> None:
        """Add the endpoints for prefill, decode and KV transfer."""
        super().add_routes(app)
        app.router.add_post("/v1/prefill", self._prefill)
        app.router.add_post("/v1/decode", self._decode)
        app.router.add_get("/v1/kv/{handle_id}", self._transfer_kv)

    def handles_outstanding(self) -> int:
        """Return the number of KV caches held for a KV transfer or being transferred."""
        return self._handles.outstanding(self.now()) + self._transfers

    def on_cancelled(self, attempt_id: str) -> None:
        """Release the KV cache held for a cancelled attempt."""
        self._handles.release(attempt_id)

    def on_stage_set(self) -> None:
        """Clear the prefix cache and the handles of the previous stage."""
        self._cache.clear()
        self._handles.expire_all()

    def expire_handles(self) -> None:
        """Expire every KV handle."""
        self._handles.expire_all()

    def streams(self) -> bool:
        """Return True: executions are answered by a stream."""
        return True

    async def _prefill(self, request: web.Request) -> web.StreamResponse:
        body = await read_struct(request, PrefillRequest)
        dispatch = AttemptDispatch(
            request_id=body.request_id,
            attempt_id=body.attempt_id,
            phase=Phase.PREFILL_DONE,
            stage=Stage.PREFILL,
            model=body.model,
        )
        return await self.admitted(dispatch, lambda: self._start_prefill(request, body, dispatch))

    async def _start_prefill(
        self, request: web.Request, body: PrefillRequest, dispatch: AttemptDispatch
    ) -> web.StreamResponse:
        refusal = self.begin(dispatch)
        if refusal is not None:
            return refusal
        prompt_tokens = count_tokens(body.prompt)
        cached_tokens = await self._occupy_processor(body.prompt, prompt_tokens)
        if self.core.attempts.is_cancelled(dispatch.attempt_id):
            error = self.core.error(dispatch, ErrorCode.ATTEMPT_REFUSED, "cancelled", Ran.YES)
            return error_response(error)
        faulty_response = await self.apply_response_faults(request, dispatch)
        if faulty_response is not None:
            return faulty_response
        handle = self._issue_handle(dispatch, prompt_tokens)
        sender = self.answer_identity(dispatch)
        reply = PrefillReply(
            request_id=sender.request_id,
            attempt_id=sender.attempt_id,
            handle=handle,
            cached_tokens=cached_tokens,
        )
        return json_response(reply, attempt_id=sender.attempt_id)

    async def _occupy_processor(self, prompt: str, prompt_tokens: int) -> int:
        keys = block_keys(prompt)
        cached_tokens = self._cache.cached_tokens(keys)
        self.core.counts.cache_hits += 1 if cached_tokens else 0
        self.core.counts.cached_tokens += cached_tokens
        self.core.counts.prompt_tokens += prompt_tokens
        seconds = prefill_seconds(self._timing, prompt_tokens, cached_tokens)
        seconds *= self.faults.factor(FaultKind.SLOW, self.now())
        await asyncio.sleep(self._processor.reserve(self.now(), seconds))
        self._cache.insert(keys)
        return cached_tokens

    def _issue_handle(self, dispatch: AttemptDispatch, prompt_tokens: int) -> CacheHandle:
        record = self.core.record
        handle_id = self._handles.issue(
            dispatch.request_id, dispatch.attempt_id, prompt_tokens, self.now()
        )
        return CacheHandle(
            handle_id=handle_id,
            request_id=dispatch.request_id,
            attempt_id=dispatch.attempt_id,
            worker_id=record.worker_id,
            incarnation=record.incarnation,
            url=record.url,
            prompt_tokens=prompt_tokens,
            expires_in_seconds=self._timing.handle_lifetime_seconds,
        )

    async def _transfer_kv(self, request: web.Request) -> web.StreamResponse:
        claim = HandleClaim(
            handle_id=request.match_info["handle_id"],
            request_id=request.query.get("request_id", ""),
            attempt_id=request.query.get("attempt_id", ""),
            incarnation=request.query.get("incarnation", ""),
        )
        peer = request.query.get("decode_worker", "")
        if self.faults.take(FaultKind.LINK_PARTITION, self.now(), peer) is not None:
            abort_connection(request)
            return web.Response()
        answer = self._handles.take(claim, self.now())
        if answer.verdict is not HandleVerdict.GRANTED:
            return self._deny(claim, answer.verdict)
        await self._occupy_link(answer.prompt_tokens, peer)
        self.core.counts.handles_granted += 1
        return json_response(
            KvTransfer(
                request_id=claim.request_id,
                attempt_id=claim.attempt_id,
                handle_id=claim.handle_id,
                prompt_tokens=answer.prompt_tokens,
                kv_bytes=transfer_bytes(self._timing, answer.prompt_tokens),
            )
        )

    def _deny(self, claim: HandleClaim, verdict: HandleVerdict) -> web.Response:
        self.core.counts.handles_denied += 1
        error = ErrorBody(
            code=VERDICT_CODES[verdict],
            message=f"{self.core.record.worker_id}: handle {verdict}",
            ran=Ran.NO,
            request_id=claim.request_id,
            attempt_id=claim.attempt_id,
        )
        return error_response(error)

    async def _occupy_link(self, prompt_tokens: int, peer: str) -> None:
        seconds = transfer_seconds(self._timing, prompt_tokens)
        seconds *= self.faults.factor(FaultKind.SLOW_LINK, self.now(), peer)
        self._transfers += 1
        try:
            await asyncio.sleep(self._link.reserve(self.now(), seconds))
        finally:
            self._transfers -= 1

    async def _decode(self, request: web.Request) -> web.StreamResponse:
        body = await read_struct(request, DecodeRequest)
        dispatch = AttemptDispatch(
            request_id=body.request_id,
            attempt_id=body.attempt_id,
            phase=Phase.EXECUTION,
            stage=Stage.DECODE,
            model=body.model,
        )
        return await self.admitted(dispatch, lambda: self._run_decode(request, body, dispatch))

    async def _run_decode(
        self, request: web.Request, body: DecodeRequest, dispatch: AttemptDispatch
    ) -> web.StreamResponse:
        puller = CachePuller(
            self.session,
            self.faults,
            self.core.record.worker_id,
            self._timing.transfer_timeout_seconds,
        )
        failure = await puller.pull(body)
        if failure is not None:
            self.core.counts.kv_transfers_failed += 1
            return error_response(
                self.core.refuse(dispatch, failure.code, failure.message, self.now())
            )
        refusal = self.begin(dispatch)
        if refusal is not None:
            return refusal
        self._streams += 1
        try:
            faulty_response = await self.apply_response_faults(request, dispatch)
            return faulty_response or await self._stream(request, body, dispatch)
        finally:
            self._streams -= 1

    async def _stream(
        self, request: web.Request, body: DecodeRequest, dispatch: AttemptDispatch
    ) -> web.StreamResponse:
        sender = self.answer_identity(dispatch)
        plan = StreamPlan(
            request_id=sender.request_id,
            attempt_id=sender.attempt_id,
            max_tokens=body.max_tokens,
            tokens_per_frame=self._timing.tokens_per_frame,
            lost_frame=self._lost_frame(body.max_tokens),
            without_terminal=self.faults.take(FaultKind.MISSING_TERMINAL, self.now()) is not None,
        )
        response = web.StreamResponse(headers={ATTEMPT_HEADER: sender.attempt_id})
        response.content_type = "text/event-stream"
        try:
            await response.prepare(request)
            await self._send_frames(request, response, plan, dispatch)
        except ConnectionError:
            self.core.counts.streams_interrupted += 1
        return response

    def _lost_frame(self, max_tokens: int) -> int | None:
        fault = self.faults.take(FaultKind.SEQUENCE_GAP, self.now())
        if fault is None:
            return None
        frames = -(-max_tokens // self._timing.tokens_per_frame)
        return min(fault.after_frames, max(0, frames - 1))

    async def _send_frames(
        self,
        request: web.Request,
        response: web.StreamResponse,
        plan: StreamPlan,
        dispatch: AttemptDispatch,
    ) -> None:
        truncation = self.faults.take(FaultKind.TRUNCATE, self.now())
        stall = self.faults.take(FaultKind.STALL, self.now())
        for sent, frame in enumerate(decode_frames(plan)):
            if self.core.attempts.is_cancelled(dispatch.attempt_id):
                abort_connection(request)
                return
            if truncation is not None and sent > truncation.after_frames:
                abort_connection(request)
                return
            if stall is not None and sent == stall.after_frames + 1:
                await self._stall(request, stall)
            await self._send_frame(response, frame)

    async def _stall(self, request: web.Request, stall: Fault) -> None:
        clear_count = self.faults.clear_count
        ends_at = self.now() + stall.seconds if stall.seconds > 0 else float("inf")
        await wait_until(
            lambda: self.faults.clear_count != clear_count or is_closed(request), deadline=ends_at
        )

    async def _send_frame(self, response: web.StreamResponse, frame: DecodeFrame) -> None:
        if frame.kind is FrameKind.CONTENT:
            await asyncio.sleep(self._frame_interval_seconds())
        await self.wait_while(FaultKind.GO_DARK)
        await response.write(b"data: " + msgspec.json.encode(frame) + b"\n\n")
        self.core.counts.frames += 1

    def _frame_interval_seconds(self) -> float:
        interval = decode_interval_seconds(self._timing, self._streams)
        factor = self.faults.factor(FaultKind.SLOW, self.now())
        return interval * self._timing.tokens_per_frame * factor
