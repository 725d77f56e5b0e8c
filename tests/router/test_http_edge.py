"""The HTTP edge end to end on loopback: what callers see when back ends behave and when not."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
import pytest
from edge_fakes import (
    WHOLE,
    WORKER,
    Script,
    Site,
    crossed_call,
    cut,
    endless_after_a_gap,
    first_choice,
    frames,
    frames_for_ever,
    hang,
    refuse,
    running_site,
)

from orchidpath.wire.backend import Announcement, ErrorCode, FrameKind, Ran
from orchidpath.wire.configuration import AdmissionPolicy
from orchidpath.wire.messages import AttemptEffect
from orchidpath.wire.records import WorkerStatus


class Streamed:
    """What a caller got of a stream."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.is_clean = False
        self.text = ""
        self.error: dict[str, Any] | None = None

    def take(self, content: bytes) -> None:
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
        return self.is_clean and bool(self.events) and self.events[-1] == "[DONE]"


async def read_stream(site: Site, headers: dict[str, str] | None = None) -> Streamed:
    """Read a stream to its end, clean or not."""
    streamed = Streamed()
    content = b""
    async with asyncio.timeout(10.0), site.post_chat(headers=headers) as response:
        assert response.status == 200
        try:
            async for chunk in response.content.iter_any():
                content += chunk
            streamed.is_clean = True
        except aiohttp.ClientPayloadError:
            pass
    streamed.take(content)
    return streamed


async def eventually(holds: Callable[[], bool]) -> None:
    """Wait for what happens right after an answer; fails by the time limit only."""
    async with asyncio.timeout(5.0):
        while not holds():
            await asyncio.sleep(0.005)


async def test_stream_is_relayed_whole() -> None:
    async with running_site() as site:
        streamed = await read_stream(site, {"x-request-id": "my-id"})
        assert streamed.is_complete
        assert streamed.text == "word word "
        first = json.loads(streamed.events[0])
        assert first["object"] == "chat.completion.chunk"
        assert first["id"] == "chatcmpl-my-id"
        await eventually(lambda: len(site.fleet.reports) == 2)
        assert {one.effect for one in site.fleet.reports} == {AttemptEffect.SUCCESS}


async def test_one_json_body_carries_usage_and_trace() -> None:
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
        (order,) = site.backends["s1"].orders + site.backends["s2"].orders
        assert order.path == "/stock/17?size=2"  # type: ignore[union-attr]


def fail_once(site: Site, workers: str, script: Script) -> None:
    """Let the first order to any of these workers go by the script, and the others well."""
    failed: list[str] = []

    async def first_fails(request: Any, order: Any) -> Any:
        if failed:
            return await request.app[WORKER].answer_well(request, order)
        failed.append(order.attempt_id)
        return await script(request, order)

    for name in (f"{workers}1", f"{workers}2"):
        site.backends[name].scripts.extend([first_fails] * 2)


@pytest.mark.parametrize(
    "script",
    [
        frames(FrameKind.ROLE, FrameKind.CONTENT),
        frames(*WHOLE, lost=2),
        frames(FrameKind.ROLE, FrameKind.CONTENT, then_hang=True),
    ],
    ids=["missing_terminal", "gap", "stall"],
)
async def test_stream_that_breaks_after_content_is_visibly_broken(script: Script) -> None:
    # Brief: a cut stream must not look complete, and no retry after real content.
    async with running_site() as site:
        for name in ("d1", "d2"):
            site.backends[name].scripts.append(script)
        streamed = await read_stream(site)
        assert not streamed.is_clean
        assert "[DONE]" not in streamed.events
        assert streamed.error is not None
        assert streamed.error["code"] == "stream_broken"
        decodes = site.backends["d1"].orders + site.backends["d2"].orders
        assert len(decodes) == 1


@pytest.mark.parametrize(
    "script",
    [
        cut,
        refuse(ErrorCode.DRAINING, Ran.NO),
        frames(FrameKind.ROLE),
        frames(*WHOLE, lost=0),
        frames(*WHOLE, attempt_id="other"),
    ],
    ids=["cut", "refused", "missing_terminal", "gap", "wrong_echo"],
)
async def test_failure_before_content_is_retried_on_the_other_worker(script: Script) -> None:
    async with running_site() as site:
        fail_once(site, "d", script)
        streamed = await read_stream(site)
        assert streamed.is_complete
        assert streamed.text == "word word "
        (first,), (second,) = site.backends["d1"].orders, site.backends["d2"].orders
        assert first.attempt_id != second.attempt_id


async def test_non_repeatable_call_of_unknown_fate_is_answered_unknown() -> None:
    async with running_site(repeatable=False) as site:
        for name in ("s1", "s2"):
            site.backends[name].scripts.append(cut)
            site.backends[name].cancel_ran = Ran.YES
        async with site.session.get(f"{site.url}/stock/1") as response:
            assert response.status == 502
            assert (await response.json())["error"]["ran"] == "unknown"
        orders = site.backends["s1"].orders + site.backends["s2"].orders
        assert len(orders) == 1


async def test_non_repeatable_call_is_sent_again_after_the_promise() -> None:
    async with running_site(repeatable=False) as site:
        fail_once(site, "s", cut)
        async with site.session.get(f"{site.url}/stock/1") as response:
            assert response.status == 200
        workers = [site.backends["s1"], site.backends["s2"]]
        (first,), (second,) = workers[0].orders, workers[1].orders
        assert first.attempt_id != second.attempt_id
        cancelled = workers[0].cancelled + workers[1].cancelled
        assert len(cancelled) == 1
        assert cancelled[0] in {first.attempt_id, second.attempt_id}


async def test_connect_failure_is_known_never_to_have_left() -> None:
    async with running_site(repeatable=False) as site:
        for name in ("s1", "s2"):
            await site.backends[name].stop()
            await site.backends[name].start()
        async with site.session.get(f"{site.url}/stock/1") as response:
            # The view still names the former ports, where nobody listens.
            assert response.status == 502
            assert (await response.json())["error"]["ran"] == "no"


async def test_crossed_answer_is_not_passed_on_and_its_connection_not_reused() -> None:
    # Architecture note, section 7: another id means that the connection is never used again.
    async with running_site() as site:
        workers = [site.backends["s1"], site.backends["s2"]]
        for worker in workers:
            worker.scripts.append(crossed_call())
        bodies = []
        for number in range(6):
            async with site.session.get(f"{site.url}/stock/{number}") as response:
                bodies.append(await response.read())
        assert all(b"stolen" not in body for body in bodies)
        for worker in workers:
            assert worker.ports[0] not in worker.ports[1:]
            assert len(set(worker.ports[1:])) <= 1, "good connections are reused"


async def test_aborted_exchange_never_returns_its_connection() -> None:
    async with running_site() as site:
        for name in ("d1", "d2"):
            site.backends[name].scripts.append(frames(FrameKind.CONTENT, then_hang=True))
        broken = 0
        for _ in range(8):
            streamed = await read_stream(site)
            broken += not streamed.is_clean
            assert streamed.is_clean is streamed.is_complete
        assert broken == 2
        for name in ("d1", "d2"):
            worker = site.backends[name]
            assert len(worker.ports) > 1
            assert worker.ports[0] not in worker.ports[1:]
            assert len(worker.cancelled) == 1


async def test_abort_closes_the_connection_of_a_stream_that_goes_on() -> None:
    async with running_site() as site:
        decoders = [site.backends["d1"], site.backends["d2"]]
        for worker in decoders:
            worker.scripts.append(endless_after_a_gap)
        assert not (await read_stream(site)).is_clean
        (transport,) = [one.transports[0] for one in decoders if one.transports]
        await eventually(transport.is_closing)


async def test_client_that_leaves_cancels_the_attempt() -> None:
    async with running_site() as site:
        for name in ("d1", "d2"):
            site.backends[name].scripts.append(hang)
        task = asyncio.create_task(read_stream(site))
        decoders = [site.backends["d1"], site.backends["d2"]]
        await eventually(lambda: any(one.orders for one in decoders))
        task.cancel()
        await eventually(lambda: any(one.cancelled for one in decoders))
        await eventually(lambda: len(site.fleet.reports) == 2)
        assert {one.effect for one in site.fleet.reports} == {AttemptEffect.GATEWAY}


async def test_router_whose_lease_lapsed_refuses_at_once() -> None:
    async with running_site() as site:
        site.fleet.fresh = False
        async with site.post_chat() as response:
            assert not site.fleet.requests, "refused before anything is asked"
            assert response.status == 503
            assert response.headers["Retry-After"] == "2"
            error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == ("not_fresh", "no")
        async with site.session.get(f"{site.url}/health/ready") as response:
            assert response.status == 503
            assert (await response.json())["reason"] == "no lease"


async def test_lease_is_checked_again_right_before_the_send() -> None:
    async with running_site() as site:
        site.fleet.on_decide = lambda: setattr(site.fleet, "fresh", False)
        async with site.post_chat() as response:
            assert response.status == 503
            assert (await response.json())["error"]["code"] == "not_fresh"
        assert not any(backend.orders for backend in site.backends.values())


async def test_worker_that_drains_after_the_decision_gets_no_order() -> None:
    # Brief: no new request for a worker that is known to be draining.
    async with running_site() as site:
        chosen: list[str] = []

        def drain_the_chosen() -> None:
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

        site.fleet.on_decide = drain_the_chosen
        async with site.session.get(f"{site.url}/stock/1") as response:
            assert response.status == 200
        assert not site.backends[chosen[0]].orders
        assert site.fleet.effects(chosen[0]) == [AttemptEffect.GATEWAY]


async def test_worker_that_told_this_router_of_its_draining_is_no_candidate() -> None:
    async with running_site() as site:
        site.fleet.draining.add("s1")
        for number in range(4):
            async with site.session.get(f"{site.url}/stock/{number}") as response:
                assert response.status == 200
        assert [
            stage_candidates.candidates
            for one in site.fleet.requests
            for stage_candidates in one.per_stage
        ] == [("s2",)] * 4


async def test_control_tier_lost_falls_back_to_the_last_known_state() -> None:
    async with running_site() as site:
        site.fleet.leader_answers = False
        assert (await read_stream(site)).is_complete


async def test_drain_refuses_new_requests_and_finishes_running_ones() -> None:
    async with running_site() as site:
        for name in ("d1", "d2"):
            site.backends[name].scripts.append(hang)
        running = asyncio.create_task(read_stream(site))
        decoders = [site.backends["d1"], site.backends["d2"]]
        await eventually(lambda: any(one.orders for one in decoders))
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


async def test_stream_cut_off_by_the_end_of_the_drain_is_visibly_broken() -> None:
    async with running_site() as site:
        for name in ("d1", "d2"):
            site.backends[name].scripts.append(frames_for_ever)
        running = asyncio.create_task(read_stream(site))
        decoders = [site.backends["d1"], site.backends["d2"]]
        await eventually(lambda: any(one.frames_sent for one in decoders))
        await site.edge.stop(0.0)
        streamed = await running
        assert not streamed.is_clean
        assert "[DONE]" not in streamed.events


async def test_admission_sheds_at_once() -> None:
    async with running_site(admission=AdmissionPolicy(max_requests_in_flight=1)) as site:
        for name in ("d1", "d2"):
            site.backends[name].scripts.append(hang)
        running = asyncio.create_task(read_stream(site))
        await eventually(lambda: bool(site.fleet.requests))
        async with site.post_chat() as response:
            assert response.status == 503
            error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == ("overloaded", "no")
            assert int(response.headers["Retry-After"]) >= 1
        running.cancel()


async def test_second_request_with_a_running_id_is_not_told_that_it_did_not_run() -> None:
    async with running_site() as site:
        for name in ("d1", "d2"):
            site.backends[name].scripts.append(hang)
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
async def test_refused_requests(body: bytes, status: int, code: str) -> None:
    async with running_site() as site:
        url = f"{site.url}/v1/chat/completions"
        async with site.session.post(url, data=body) as response:
            assert response.status == status
            error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == (code, "no")


async def test_deadline_of_the_caller_is_kept() -> None:
    async with running_site() as site:
        for name in ("s1", "s2"):
            site.backends[name].scripts.append(hang)
        headers = {"x-deadline-seconds": "0.1"}
        async with site.session.get(f"{site.url}/stock/1", headers=headers) as response:
            assert response.status == 504
            assert (await response.json())["error"]["ran"] == "unknown"


async def test_announcement_is_taken_and_metrics_are_shown() -> None:
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


async def test_slow_reader_holds_the_back_end_up() -> None:
    """A caller who reads nothing must not make the router read the whole stream into memory."""
    count = 2_000
    piece = "x" * 64_000
    async with running_site() as site:
        script = frames(*[FrameKind.CONTENT] * count, FrameKind.DONE, text=piece)
        decoders = [site.backends["d1"], site.backends["d2"]]
        for worker in decoders:
            worker.scripts.append(script)
        async with site.post_chat() as response:
            assert response.status == 200
            progress, before = 0, -1
            while progress != before:
                before = progress
                await asyncio.sleep(0.2)
                progress = sum(worker.frames_sent for worker in decoders)
            # What went out fits into the buffers of the sockets; the rest waits at the back end.
            assert 0 < progress < count / 2
            response.close()
