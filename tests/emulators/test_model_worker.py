"""The emulated model worker on loopback: KV transfer, at-most-once execution and faults."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import msgspec
import pytest
from aiohttp import web
from emulator_harness import (
    FAST,
    Answer,
    BackendClient,
    backend_client,
    make_record,
    make_worker,
    running,
)

from orchidpath.emulators.backend.answers import expected_text
from orchidpath.emulators.backend.backend_shell import BackendSettings, BackendShell
from orchidpath.emulators.backend.injected_faults import FaultKind
from orchidpath.emulators.backend.reports import ExecutionRecord
from orchidpath.emulators.worker.engine_model import WorkerTiming
from orchidpath.emulators.worker.model_worker import ModelWorker
from orchidpath.wire.backend import (
    Announcement,
    AnnouncementReply,
    CancelReply,
    ErrorCode,
    FrameKind,
    PrefillReply,
    Ran,
    WorkerCommand,
    WorkerCommandKind,
    WorkerCommandReply,
)
from orchidpath.wire.records import Stage, WorkerStatus


class Pair:
    """A prefill worker, a decode worker and a client."""

    def __init__(self, prefill: BackendShell, decode: BackendShell, client: BackendClient) -> None:
        self.prefill = prefill
        self.decode = decode
        self.client = client

    async def serve(self, attempt_id: str = "a", max_tokens: int = 8) -> Answer:
        handle = await self.client.prefill_handle(self.prefill, "r", attempt_id)
        return await self.client.decode(self.decode, handle, "r", attempt_id, max_tokens)


@contextlib.asynccontextmanager
async def running_pair(timing: WorkerTiming = FAST) -> AsyncIterator[Pair]:
    async with (
        running(make_worker("p1", Stage.PREFILL, timing)) as prefill,
        running(make_worker("d1", Stage.DECODE, timing)) as decode,
        backend_client() as client,
    ):
        yield Pair(prefill, decode, client)


async def test_a_request_is_prefilled_and_decoded_completely() -> None:
    async with running_pair() as pair:
        answer = await pair.serve()
        assert (answer.status, answer.attempt_header, answer.clean_end) == (200, "a", True)
        assert "".join(frame.text for frame in answer.frames) == expected_text("r", 8)
        assert answer.frames[0].kind is FrameKind.ROLE
        assert answer.frames[-1].kind is FrameKind.DONE
        report = await pair.client.status(pair.decode)
        assert (report.executions, report.max_executions_by_request) == (1, 1)
        assert (report.in_flight, report.counts.frames) == (0, 11)


async def test_the_prefix_cache_is_hit_and_cleared_by_a_stage_change() -> None:
    async with running_pair() as pair:
        prompt = " ".join(["word"] * 40)
        cached = []
        for attempt_id in ("a", "b"):
            answer = await pair.client.prefill(pair.prefill, "r", attempt_id, prompt)
            cached.append(answer.decode(PrefillReply).cached_tokens)
        assert cached == [0, 32]
        report = await pair.client.status(pair.prefill)
        assert (report.prefills, report.executions, report.counts.cache_hits) == (2, 0, 1)


async def test_concurrent_duplicates_run_once() -> None:
    async with running_pair() as pair:
        handle = await pair.client.prefill_handle(pair.prefill, "r", "a")
        duplicates = (pair.client.decode(pair.decode, handle, "r", "a") for _ in range(10))
        answers = await asyncio.gather(*duplicates)
        rejected = [answer for answer in answers if answer.status != 200]
        assert len(rejected) == 9
        assert {answer.error.code for answer in rejected} == {ErrorCode.ATTEMPT_REFUSED}
        assert Ran.NO not in {answer.error.ran for answer in rejected}
        assert (await pair.client.status(pair.decode)).max_executions_by_request == 1


async def test_a_cancelled_attempt_never_runs() -> None:
    async with running_pair() as pair:
        handle = await pair.client.prefill_handle(pair.prefill, "r", "a")
        cancelled = await pair.client.post(f"{pair.decode.url}/v1/attempts/a/cancel", None)
        assert cancelled.decode(CancelReply).ran is Ran.NO
        answer = await pair.client.decode(pair.decode, handle, "r", "a")
        assert (answer.error.code, answer.error.ran) == (ErrorCode.ATTEMPT_REFUSED, Ran.NO)
        assert (await pair.client.status(pair.decode)).executions == 0


async def test_a_cancel_during_the_kv_transfer_stops_the_attempt() -> None:
    async with running_pair() as pair:
        handle = await pair.client.prefill_handle(pair.prefill, "r", "a")
        await pair.client.inject(pair.prefill, FaultKind.GO_DARK)
        decoding = asyncio.create_task(pair.client.decode(pair.decode, handle, "r", "a"))
        while (await pair.client.status(pair.decode)).in_flight == 0:
            await asyncio.sleep(0)
        cancelled = await pair.client.post(f"{pair.decode.url}/v1/attempts/a/cancel", None)
        assert cancelled.decode(CancelReply).ran is Ran.NO
        await pair.client.inject(pair.prefill, FaultKind.CLEAR)
        assert (await decoding).error.ran is Ran.NO
        assert (await pair.client.status(pair.decode)).executions == 0


async def test_a_running_stream_is_aborted_by_a_cancel() -> None:
    async with running_pair() as pair:
        await pair.client.inject(pair.decode, FaultKind.SLOW, factor=20.0)
        serving = asyncio.create_task(pair.serve(max_tokens=10_000))
        while (await pair.client.status(pair.decode)).counts.frames == 0:
            await asyncio.sleep(0)
        cancelled = await pair.client.post(f"{pair.decode.url}/v1/attempts/a/cancel", None)
        assert cancelled.decode(CancelReply).ran is Ran.YES
        assert not (await serving).clean_end


@pytest.mark.parametrize("field", ["request_id", "attempt_id", "incarnation"])
async def test_a_handle_of_another_attempt_is_rejected(field: str) -> None:
    async with running_pair() as pair:
        handle = await pair.client.prefill_handle(pair.prefill, "r", "a")
        mismatched = msgspec.structs.replace(handle, **{field: "other"})
        answer = await pair.client.decode(
            pair.decode, mismatched, mismatched.request_id, mismatched.attempt_id
        )
        assert (answer.error.code, answer.error.ran) == (ErrorCode.HANDLE_MISMATCH, Ran.NO)
        unbound = await pair.client.decode(pair.decode, handle, "r", "z")
        assert unbound.error.code is ErrorCode.HANDLE_MISMATCH
        # The rejection of the handle is final for the attempt id that claimed it, and for no other.
        other_attempt = field == "attempt_id"
        original = await pair.client.decode(pair.decode, handle, "r", "a")
        assert original.status == (200 if other_attempt else 409)
        assert (await pair.client.status(pair.decode)).executions == int(other_attempt)


@pytest.mark.parametrize("side", ["prefill", "decode"])
async def test_a_partitioned_link_is_reported_with_the_prefill_worker(side: str) -> None:
    async with running_pair() as pair:
        worker, peer = (pair.prefill, "d1") if side == "prefill" else (pair.decode, "p1")
        await pair.client.inject(worker, FaultKind.LINK_PARTITION, worker_id=peer)
        answer = await pair.serve()
        assert (answer.error.code, answer.error.ran) == (ErrorCode.UPSTREAM_FAILED, Ran.NO)
        assert "p1 unreachable" in answer.error.message


async def test_expired_handles_and_a_slow_link() -> None:
    timing = msgspec.structs.replace(FAST, transfer_timeout_seconds=0.5)
    async with running_pair(timing) as pair:
        handle = await pair.client.prefill_handle(pair.prefill, "r", "a")
        await pair.client.inject(pair.prefill, FaultKind.EXPIRE_HANDLES)
        answer = await pair.client.decode(pair.decode, handle, "r", "a")
        assert (answer.error.code, answer.error.ran) == (ErrorCode.HANDLE_EXPIRED, Ran.NO)
        assert "p1 denied" in answer.error.message
        await pair.client.inject(pair.prefill, FaultKind.SLOW_LINK, factor=1e9)
        late = await pair.serve("b")
        assert (late.error.code, late.error.ran) == (ErrorCode.UPSTREAM_FAILED, Ran.NO)


async def test_streams_are_damaged_by_faults() -> None:
    async with running_pair() as pair:
        await pair.client.inject(pair.decode, FaultKind.MISSING_TERMINAL, count=1)
        missing = await pair.serve("a")
        assert missing.clean_end
        assert missing.frames[-1].kind is FrameKind.CONTENT
        await pair.client.inject(pair.decode, FaultKind.SEQUENCE_GAP, count=1)
        gapped = await pair.serve("b")
        sequences = [frame.sequence for frame in gapped.frames]
        assert set(range(sequences[-1] + 1)) - set(sequences) == {3}
        await pair.client.inject(pair.decode, FaultKind.TRUNCATE, count=1)
        aborted = await pair.serve("c")
        assert (aborted.clean_end, len(aborted.frames)) == (False, 3)
        await pair.client.inject(pair.decode, FaultKind.WRONG_ATTEMPT_ECHO, count=1)
        wrong_echo = await pair.serve("d")
        assert wrong_echo.attempt_header == "d-other"
        assert wrong_echo.frames[1].text != expected_text("r", 1)
        assert (await pair.serve("e")).frames[-1].kind is FrameKind.DONE


async def test_a_stall_lasts_until_cleared() -> None:
    async with running_pair() as pair:
        await pair.client.inject(pair.decode, FaultKind.STALL, count=1)
        serving = asyncio.create_task(pair.serve())
        while (await pair.client.status(pair.decode)).counts.frames < 3:
            await asyncio.sleep(0)
        assert [(await pair.client.status(pair.decode)).counts.frames for _ in range(9)] == [3] * 9
        await pair.client.inject(pair.decode, FaultKind.CLEAR)
        assert (await serving).frames[-1].kind is FrameKind.DONE


async def test_failing_and_rejecting_differ_in_their_guarantee() -> None:
    async with running_pair() as pair:
        await pair.client.inject(pair.decode, FaultKind.FAIL_NEXT, count=1)
        failed = await pair.serve("a")
        assert (failed.status, failed.error.ran) == (500, Ran.UNKNOWN)
        assert (await pair.client.status(pair.decode)).executions == 1
        await pair.client.inject(pair.decode, FaultKind.REFUSE_ALL, count=1)
        rejected = await pair.serve("b")
        assert (rejected.status, rejected.error.code) == (503, ErrorCode.OVERLOADED)
        assert rejected.error.ran is Ran.NO
        assert (await pair.client.status(pair.decode)).executions == 1


async def test_an_unresponsive_worker_answers_nothing_and_executes_late() -> None:
    async with running_pair() as pair:
        await pair.client.inject(pair.prefill, FaultKind.GO_DARK)
        waiting = asyncio.create_task(pair.client.prefill(pair.prefill, "r", "a"))
        reports = [await pair.client.status(pair.prefill) for _ in range(9)]
        assert not waiting.done()
        assert {report.prefills for report in reports} == {0}
        await pair.client.inject(pair.prefill, FaultKind.CLEAR)
        assert (await waiting).status == 200


async def test_a_late_response_has_executed() -> None:
    async with running_pair() as pair:
        await pair.client.inject(pair.decode, FaultKind.ANSWER_LATE, delay_seconds=30.0)
        handle = await pair.client.prefill_handle(pair.prefill, "r", "a")
        waiting = asyncio.create_task(pair.client.decode(pair.decode, handle, "r", "a"))
        while (await pair.client.status(pair.decode)).executions == 0:
            await asyncio.sleep(0)
        assert not waiting.done()
        waiting.cancel()


async def test_overload_and_bad_bodies_are_rejected() -> None:
    timing = msgspec.structs.replace(FAST, max_in_flight=1, prefill_overhead_seconds=30.0)
    worker = make_worker("p1", Stage.PREFILL, timing)
    async with running(worker), backend_client() as client:
        first = asyncio.create_task(client.prefill(worker, "r", "a"))
        while (await client.status(worker)).in_flight == 0:
            await asyncio.sleep(0)
        second = await client.prefill(worker, "q", "b")
        assert (second.status, second.error.code) == (503, ErrorCode.OVERLOADED)
        first.cancel()
        bad = await client.post(f"{worker.url}/v1/prefill", {"request_id": 1})
        assert (bad.status, bad.error.code) == (400, ErrorCode.BAD_REQUEST)


async def test_commands_change_the_stage_of_an_idle_worker() -> None:
    async with running_pair() as pair:

        async def send(
            sequence: int, kind: WorkerCommandKind, stage: Stage | None
        ) -> WorkerCommandReply:
            command = WorkerCommand(
                term=1,
                sequence=sequence,
                worker_id="p1",
                incarnation="i1",
                kind=kind,
                stage=stage,
            )
            answer = await pair.client.post(f"{pair.prefill.url}/v1/orders", command)
            return answer.decode(WorkerCommandReply)

        handle = await pair.client.prefill_handle(pair.prefill, "r", "a")
        assert (await send(1, WorkerCommandKind.DRAIN, None)).accepted
        rejected = await pair.client.prefill(pair.prefill, "r", "b")
        assert (rejected.error.code, rejected.error.ran) == (ErrorCode.DRAINING, Ran.NO)
        assert not (await send(2, WorkerCommandKind.SET_STAGE, Stage.DECODE)).accepted
        assert (await pair.client.decode(pair.decode, handle, "r", "a")).status == 200
        assert (await send(3, WorkerCommandKind.SET_STAGE, Stage.DECODE)).accepted
        assert not (await send(3, WorkerCommandKind.RESUME, None)).accepted
        report = await pair.client.status(pair.prefill)
        assert (report.stage, report.status) == (Stage.DECODE, WorkerStatus.DRAINING)


@contextlib.asynccontextmanager
async def announcement_receiver(queue: asyncio.Queue[Announcement]) -> AsyncIterator[str]:
    async def receive(request: web.Request) -> web.Response:
        queue.put_nowait(msgspec.json.decode(await request.read(), type=Announcement))
        return web.Response(body=msgspec.json.encode(AnnouncementReply(accepted=True)))

    app = web.Application()
    app.router.add_post("/v1/workers/announce", receive)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield f"127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


async def test_a_worker_announces_itself_and_its_draining() -> None:
    queue: asyncio.Queue[Announcement] = asyncio.Queue()
    async with announcement_receiver(queue) as address:
        worker = make_worker("p1", Stage.PREFILL, announce=("http://127.0.0.1:1", address))
        async with running(worker):
            first = await asyncio.wait_for(queue.get(), 5)
            assert (first.record.url, first.record.status) == (worker.url, WorkerStatus.READY)
            await worker.drain_and_stop()
        while (last := await asyncio.wait_for(queue.get(), 5)).record.status != "draining":
            first = last
        assert last.sequence > first.sequence


async def test_draining_finishes_running_requests() -> None:
    async with running_pair() as pair:
        await pair.client.inject(pair.decode, FaultKind.SLOW, factor=20.0)
        serving = asyncio.create_task(pair.serve(max_tokens=20))
        while (await pair.client.status(pair.decode)).counts.frames == 0:
            await asyncio.sleep(0)
        await pair.decode.drain_and_stop()
        answer = await serving
        assert (answer.clean_end, answer.frames[-1].kind) == (True, FrameKind.DONE)
        with pytest.raises(aiohttp.ClientConnectorError):
            await pair.client.status(pair.decode)


async def test_the_execution_log_is_written_before_the_work(tmp_path: Path) -> None:
    log = tmp_path / "executions"
    worker = ModelWorker(
        make_record("p1", Stage.PREFILL), BackendSettings(execution_log=str(log)), FAST
    )
    async with running(worker), backend_client() as client:
        await client.inject(worker, FaultKind.ANSWER_LATE, delay_seconds=30.0)
        waiting = asyncio.create_task(client.prefill(worker, "r", "a"))
        while (await client.status(worker)).prefills == 0:
            await asyncio.sleep(0)
        record = msgspec.json.decode(log.read_bytes(), type=ExecutionRecord)
        assert (record.request_id, record.attempt_id) == ("r", "a")
        waiting.cancel()
