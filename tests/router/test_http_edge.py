"""The HTTP edge end to end on loopback: responses to callers, with and without faults."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
import pytest
from edge_fakes import (
    COMPLETE_STREAM,
    WORKER,
    Script,
    Site,
    abort_connection,
    endless_stream,
    endless_stream_with_a_gap,
    first_choice,
    frames,
    hang,
    reject,
    response_to_another_attempt,
    running_site,
)

from orchidpath.wire.backend import Announcement, ErrorCode, FrameKind, Ran
from orchidpath.wire.configuration import AdmissionPolicy
from orchidpath.wire.messages import AttemptEffect
from orchidpath.wire.records import WorkerStatus


class Streamed:
    """A stream as its caller received it."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.has_clean_end = False
        self.text = ""
        self.error: dict[str, Any] | None = None

    def parse(self, content: bytes) -> None:
        self.events = [
            line.removeprefix("data: ")
            for line in content.decode().splitlines()
            if line.startswith("data: ")
        ]
        for event in self.events:
            if event == "[DONE]":
                continue
            value = json.loads(event)
            self.error = value.get("error", self.error)
            for choice in value.get("choices", ()):
                self.text += choice.get("delta", {}).get("content") or ""

    @property
    def is_complete(self) -> bool:
        return self.has_clean_end and bool(self.events) and self.events[-1] == "[DONE]"


async def read_stream(site: Site, headers: dict[str, str] | None = None) -> Streamed:
    """Read a stream to its end, also when it is aborted."""
    streamed = Streamed()
    content = b""
    async with asyncio.timeout(10.0), site.post_chat(headers=headers) as response:
        assert response.status == 200
        try:
            async for chunk in response.content.iter_any():
                content += chunk
            streamed.has_clean_end = True
        except aiohttp.ClientPayloadError:
            pass
    streamed.parse(content)
    return streamed


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true; raise TimeoutError after 5 s."""
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


async def test_stream_is_relayed_completely() -> None:
    async with running_site() as site:
        streamed = await read_stream(site, {"x-request-id": "my-id"})
        assert streamed.is_complete
        assert streamed.text == "word word "
        first = json.loads(streamed.events[0])
        assert first["object"] == "chat.completion.chunk"
        assert first["id"] == "chatcmpl-my-id"
        await eventually(lambda: len(site.fleet.reports) == 2)
        assert {report.effect for report in site.fleet.reports} == {AttemptEffect.SUCCESS}


async def test_non_streamed_response_has_usage_and_trace() -> None:
    async with running_site() as site:
        headers = {"x-orchidpath-trace": "true"}
        async with site.post_chat(stream=False, headers=headers) as response:
            body = await response.json()
            assert response.headers["x-request-id"]
        assert body["choices"][0]["message"]["content"] == "word word "
        assert body["usage"] == {"prompt_tokens": 7, "completion_tokens": 2, "total_tokens": 9}
        stages = [entry["stage"] for entry in body["orchidpath"]["attempts"]]
        assert sorted(stages) == ["decode", "prefill"]


async def test_plain_call_is_answered() -> None:
    async with running_site() as site:
        async with site.session.get(f"{site.url}/stock/17?size=2") as response:
            assert await response.json() == {"n": 3}
        (dispatch,) = site.dispatches("s")
        assert dispatch.path == "/stock/17?size=2"  # type: ignore[union-attr]


def fail_once(site: Site, letter: str, script: Script) -> None:
    """Let the first request to a stage be answered by the script, and the others normally."""
    failed: list[str] = []

    async def first_fails(request: Any, dispatch: Any) -> Any:
        if failed:
            return await request.app[WORKER].answer_normally(request, dispatch)
        failed.append(dispatch.attempt_id)
        return await script(request, dispatch)

    for _ in range(2):
        site.add_script(letter, first_fails)


@pytest.mark.parametrize(
    "script",
    [
        frames(FrameKind.ROLE, FrameKind.CONTENT),
        frames(*COMPLETE_STREAM, lost=2),
        frames(FrameKind.ROLE, FrameKind.CONTENT, then_hang=True),
    ],
    ids=["missing_terminal", "gap", "stall"],
)
async def test_stream_that_fails_after_content_ends_with_an_error(script: Script) -> None:
    # An aborted stream must not look complete, and nothing is retried after a content frame.
    async with running_site() as site:
        site.add_script("d", script)
        streamed = await read_stream(site)
        assert not streamed.has_clean_end
        assert "[DONE]" not in streamed.events
        assert streamed.error is not None
        assert streamed.error["code"] == "stream_broken"
        decodes = site.dispatches("d")
        assert len(decodes) == 1


@pytest.mark.parametrize(
    "script",
    [
        abort_connection,
        reject(ErrorCode.DRAINING, Ran.NO),
        frames(FrameKind.ROLE),
        frames(*COMPLETE_STREAM, lost=0),
        frames(*COMPLETE_STREAM, attempt_id="other"),
    ],
    ids=["aborted", "rejected", "missing_terminal", "gap", "wrong_echo"],
)
async def test_failure_before_content_is_retried_on_the_other_worker(script: Script) -> None:
    async with running_site() as site:
        fail_once(site, "d", script)
        streamed = await read_stream(site)
        assert streamed.is_complete
        assert streamed.text == "word word "
        (first,), (second,) = site.backends["d1"].dispatches, site.backends["d2"].dispatches
        assert first.attempt_id != second.attempt_id


async def test_non_idempotent_call_that_may_have_executed_is_answered_unknown() -> None:
    async with running_site(repeatable=False) as site:
        site.add_script("s", abort_connection)
        for worker in site.workers("s"):
            worker.cancel_ran = Ran.YES
        async with site.session.get(f"{site.url}/stock/1") as response:
            assert response.status == 502
            assert (await response.json())["error"]["ran"] == "unknown"
        dispatches = site.dispatches("s")
        assert len(dispatches) == 1


async def test_non_idempotent_call_is_retried_after_the_not_executed_guarantee() -> None:
    async with running_site(repeatable=False) as site:
        fail_once(site, "s", abort_connection)
        async with site.session.get(f"{site.url}/stock/1") as response:
            assert response.status == 200
        workers = site.workers("s")
        (first,), (second,) = workers[0].dispatches, workers[1].dispatches
        assert first.attempt_id != second.attempt_id
        cancelled = workers[0].cancelled + workers[1].cancelled
        assert len(cancelled) == 1
        assert cancelled[0] in {first.attempt_id, second.attempt_id}


async def test_connect_failure_is_answered_as_not_executed() -> None:
    async with running_site(repeatable=False) as site:
        for worker in site.workers("s"):
            await worker.stop()
            await worker.start()
        async with site.session.get(f"{site.url}/stock/1") as response:
            # The view still has the former ports, on which no process listens.
            assert response.status == 502
            assert (await response.json())["error"]["ran"] == "no"


async def test_response_to_another_request_is_not_relayed_and_its_connection_not_reused() -> None:
    # After a response with another id, its connection is never reused.
    async with running_site() as site:
        workers = site.workers("s")
        site.add_script("s", response_to_another_attempt())
        bodies = []
        for number in range(6):
            async with site.session.get(f"{site.url}/stock/{number}") as response:
                bodies.append(await response.read())
        assert all(b"stolen" not in body for body in bodies)
        for worker in workers:
            assert worker.ports[0] not in worker.ports[1:]
            assert len(set(worker.ports[1:])) <= 1, "good connections are reused"


async def test_connection_of_an_aborted_exchange_is_never_reused() -> None:
    async with running_site() as site:
        site.add_script("d", frames(FrameKind.CONTENT, then_hang=True))
        broken = 0
        for _ in range(8):
            streamed = await read_stream(site)
            broken += not streamed.has_clean_end
            assert streamed.has_clean_end is streamed.is_complete
        assert broken == 2
        for worker in site.workers("d"):
            assert len(worker.ports) > 1
            assert worker.ports[0] not in worker.ports[1:]
            assert len(worker.cancelled) == 1


async def test_abort_closes_the_connection_of_an_endless_stream() -> None:
    async with running_site() as site:
        decoders = site.workers("d")
        site.add_script("d", endless_stream_with_a_gap)
        assert not (await read_stream(site)).has_clean_end
        (transport,) = [worker.transports[0] for worker in decoders if worker.transports]
        await eventually(transport.is_closing)


async def test_disconnected_caller_cancels_the_attempt() -> None:
    async with running_site() as site:
        site.add_script("d", hang)
        task = asyncio.create_task(read_stream(site))
        decoders = site.workers("d")
        await eventually(lambda: any(worker.dispatches for worker in decoders))
        task.cancel()
        await eventually(lambda: any(worker.cancelled for worker in decoders))
        await eventually(lambda: len(site.fleet.reports) == 2)
        assert {report.effect for report in site.fleet.reports} == {AttemptEffect.GATEWAY}


async def test_router_with_an_expired_lease_rejects_at_once() -> None:
    async with running_site() as site:
        site.fleet.fresh = False
        async with site.post_chat() as response:
            assert not site.fleet.requests, "rejected before any decision"
            assert response.status == 503
            assert response.headers["Retry-After"] == "2"
            error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == ("not_fresh", "no")
        async with site.session.get(f"{site.url}/health/ready") as response:
            assert response.status == 503
            assert (await response.json())["reason"] == "no lease"


async def test_lease_is_checked_again_immediately_before_the_dispatch() -> None:
    async with running_site() as site:
        site.fleet.on_decide = lambda: setattr(site.fleet, "fresh", False)
        async with site.post_chat() as response:
            assert response.status == 503
            assert (await response.json())["error"]["code"] == "not_fresh"
        assert not any(backend.dispatches for backend in site.backends.values())


async def test_worker_that_drains_after_the_decision_gets_no_dispatch() -> None:
    # A worker that is known to be draining gets no new request.
    async with running_site() as site:
        chosen: list[str] = []

        def drain_the_chosen_worker() -> None:
            view = site.fleet.current
            assert view is not None
            chosen.append(first_choice(site.fleet.requests[-1].per_stage[0]))
            workers = tuple(
                msgspec.structs.replace(worker, status=WorkerStatus.DRAINING)
                if worker.worker_id == chosen[0]
                else worker
                for worker in view.workers
            )
            site.fleet.current = msgspec.structs.replace(view, revision=2, workers=workers)

        site.fleet.on_decide = drain_the_chosen_worker
        async with site.session.get(f"{site.url}/stock/1") as response:
            assert response.status == 200
        assert not site.backends[chosen[0]].dispatches
        assert site.fleet.effects(chosen[0]) == [AttemptEffect.GATEWAY]


async def test_worker_that_announced_its_draining_to_this_router_is_no_candidate() -> None:
    async with running_site() as site:
        site.fleet.draining.add("s1")
        for number in range(4):
            async with site.session.get(f"{site.url}/stock/{number}") as response:
                assert response.status == 200
        assert [
            stage_candidates.candidates
            for request in site.fleet.requests
            for stage_candidates in request.per_stage
        ] == [("s2",)] * 4


async def test_without_a_leader_the_router_decides_on_the_last_known_state() -> None:
    async with running_site() as site:
        site.fleet.leader_answers = False
        assert (await read_stream(site)).is_complete


async def test_drain_rejects_new_requests_and_finishes_running_ones() -> None:
    async with running_site() as site:
        site.add_script("d", hang)
        running = asyncio.create_task(read_stream(site))
        decoders = site.workers("d")
        await eventually(lambda: any(worker.dispatches for worker in decoders))
        stopping = asyncio.create_task(site.edge.stop(30.0))
        await asyncio.sleep(0)
        async with site.post_chat() as response:
            error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == ("draining", "no")
            assert response.headers["Connection"] == "close"
            assert response.headers["Retry-After"] == "1"
        async with site.session.get(f"{site.url}/health/ready") as response:
            assert (await response.json())["reason"] == "draining"
        assert not stopping.done()
        running.cancel()
        await asyncio.wait_for(stopping, 5.0)


async def test_stream_aborted_at_the_end_of_the_drain_is_not_complete() -> None:
    async with running_site() as site:
        site.add_script("d", endless_stream)
        running = asyncio.create_task(read_stream(site))
        decoders = site.workers("d")
        await eventually(lambda: any(worker.frames_sent for worker in decoders))
        await site.edge.stop(0.0)
        streamed = await running
        assert not streamed.has_clean_end
        assert "[DONE]" not in streamed.events


async def test_admission_rejects_at_once() -> None:
    async with running_site(admission=AdmissionPolicy(max_requests_in_flight=1)) as site:
        site.add_script("d", hang)
        running = asyncio.create_task(read_stream(site))
        await eventually(lambda: bool(site.fleet.requests))
        async with site.post_chat() as response:
            assert response.status == 503
            error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == ("overloaded", "no")
            assert int(response.headers["Retry-After"]) >= 1
        running.cancel()


async def test_second_request_with_a_running_id_is_answered_unknown() -> None:
    async with running_site() as site:
        site.add_script("d", hang)
        running = asyncio.create_task(read_stream(site, {"x-request-id": "same"}))
        await eventually(lambda: bool(site.fleet.requests))
        async with site.post_chat(headers={"x-request-id": "same"}) as response:
            assert response.status == 429
            assert (await response.json())["error"]["ran"] == "unknown"
        running.cancel()


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{", 400, "bad_request"),
        (b'{"model":"beer","messages":[]}', 404, "unknown_route"),
    ],
)
async def test_bad_requests_are_rejected_as_not_executed(
    body: bytes, status: int, code: str
) -> None:
    async with running_site() as site:
        url = f"{site.url}/v1/chat/completions"
        async with site.session.post(url, data=body) as response:
            assert response.status == status
            error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == (code, "no")


async def test_deadline_of_the_caller_bounds_the_request() -> None:
    async with running_site() as site:
        site.add_script("s", hang)
        headers = {"x-deadline-seconds": "0.1"}
        async with site.session.get(f"{site.url}/stock/1", headers=headers) as response:
            assert response.status == 504
            assert (await response.json())["error"]["ran"] == "unknown"


async def test_announcement_is_accepted_and_metrics_are_served() -> None:
    async with running_site() as site:
        announcement = Announcement(record=site.backends["s1"].record, sequence=4)
        url = f"{site.url}/v1/workers/announce"
        async with site.session.post(url, data=msgspec.json.encode(announcement)) as response:
            assert (await response.json())["accepted"]
        assert site.fleet.announced == [announcement]
        await read_stream(site)
        async with site.session.get(f"{site.url}/metrics") as response:
            page = await response.text()
        assert 'orchidpath_requests_total{outcome="ok",route="wine"} 1.0' in page
        assert 'orchidpath_relayed_tokens_total{route="wine"} 2.0' in page


async def test_slow_reader_applies_backpressure_to_the_back_end() -> None:
    """A caller that reads nothing must not make the router read the stream into memory."""
    count = 2_000
    piece = "x" * 64_000
    async with running_site() as site:
        script = frames(*[FrameKind.CONTENT] * count, FrameKind.DONE, text=piece)
        decoders = site.workers("d")
        site.add_script("d", script)
        async with site.post_chat() as response:
            assert response.status == 200
            progress, before = 0, -1
            while progress != before:
                before = progress
                await asyncio.sleep(0.2)
                progress = sum(worker.frames_sent for worker in decoders)
            # The frames sent fit into the socket buffers; the back end is blocked with the rest.
            assert 0 < progress < count / 2
            response.close()
