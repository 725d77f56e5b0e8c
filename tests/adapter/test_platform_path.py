"""Requests of clients through the routers to the workers of the emulated platform."""

import asyncio
import json
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from platform_environment import (
    SIGNATURE,
    WAIT_SECONDS,
    Answer,
    EmulatedWorker,
    PlatformEnvironment,
    SurplusWorker,
    answer_unsigned,
    document,
    fail,
    hang,
    reject,
    reject_kv_transfer,
    resume_stream,
    run_and_abort,
    run_and_answer_503,
    running,
    stock,
    stream_and_abort,
    stream_and_abort_inside_an_event,
    stream_until_closed,
)

from orchidpath.router.proxy.upstream import UpstreamConnection

MODEL = {
    "X-Model": "m",
    "X-Token-Usage": "73000,80",
    "X-Prefix-Hash": "5c1e07a2:13000,e4402b7d:60000",
}
"""Headers of a prompt too long for decode-side prefill while a pair of workers is free."""
EVENTS = b"".join(f"id: {number}\ndata: word\n\n".encode() for number in range(3))


def pair() -> tuple[EmulatedWorker, EmulatedWorker]:
    return EmulatedWorker("p", "wine-llm", "prefill"), EmulatedWorker("d", "wine-llm", "decode")


async def test_a_plain_request_reaches_one_worker_unchanged(tmp_path: Path) -> None:
    (worker,) = stock("s1")
    async with running(tmp_path, worker) as environment:
        assert await environment.request_until_served("/stock/a?b=c") == b"stock"
        arrival = worker.arrivals[-1]
        assert arrival.path == "/stock/a?b=c"
        assert arrival.body == b"the body"
        assert arrival.headers["X-Target-Instance"] == "s1"
        assert 0 < int(arrival.headers["X-Deadline-Ms"]) <= 4000
        response, _ = await environment.request("/nowhere/")
        assert response.status == 404


async def test_a_response_to_another_request_is_never_relayed(tmp_path: Path) -> None:
    worker = SurplusWorker("w", "stock-api")
    async with running(tmp_path, worker) as environment:
        assert await environment.request_until_served("/stock/x") == b"stock!"
        response, body = await environment.request("/stock/x")
        assert (response.status, body) == (200, b"stock!")


async def test_a_prompt_is_prefilled_transferred_and_decoded(tmp_path: Path) -> None:
    prefill, decode = pair()
    async with running(tmp_path, prefill, decode) as environment:
        assert (
            await environment.request_until_served("/advice/x", number=1, headers=MODEL) == EVENTS
        )
        prefill_headers = prefill.arrivals[-1].headers
        decode_headers = decode.arrivals[-1].headers
        assert prefill_headers["X-Stage"] == "prefill"
        assert "X-Stage" not in decode_headers
        assert decode_headers["X-Kv-Source"].startswith(f"{prefill.address}/h")
        assert decode_headers["X-Expected-Version"] == "1"
        assert decode_headers["X-Prefix-Hash"] == MODEL["X-Prefix-Hash"]
        assert prefill.runs == []
        assert prefill.freed == []


async def test_two_prompts_with_one_uncached_prefix_are_prefilled_once(tmp_path: Path) -> None:
    prefill, decode = pair()
    may_prefill = asyncio.Event()

    async def prefill_when_allowed(
        worker: EmulatedWorker, incoming: web.Request
    ) -> web.StreamResponse:
        await may_prefill.wait()
        return await worker.answer_normally(incoming)

    async with running(tmp_path, prefill, decode) as environment:
        await environment.request_until_served("/advice/x", headers=MODEL)
        prefill.arrivals.clear()
        prefill.answers.append(prefill_when_allowed)
        uncached = {**MODEL, "X-Prefix-Hash": "aa1e07a2:13000,bb402b7d:60000"}
        first = asyncio.create_task(environment.request("/advice/x", headers=uncached))
        async with asyncio.timeout(WAIT_SECONDS):
            while not prefill.arrivals:
                await asyncio.sleep(0.01)
        second = asyncio.create_task(environment.request("/advice/x", headers=uncached))
        await asyncio.sleep(0.3)
        prefills_before_release = len(prefill.arrivals)
        may_prefill.set()
        for task in (first, second):
            response, body = await task
            assert (response.status, body) == (200, EVENTS)
        assert prefills_before_release == 1


async def test_stage_headers_of_a_client_are_dropped(tmp_path: Path) -> None:
    prefill, decode = pair()
    async with running(tmp_path, prefill, decode) as environment:
        body = await environment.request_until_served(
            "/advice/x",
            headers={**MODEL, "X-Stage": "prefill", "X-Kv-Source": "10.0.0.1:1/stolen"},
        )
        assert body == EVENTS
        assert "stolen" not in decode.arrivals[-1].headers["X-Kv-Source"]


async def test_a_failed_kv_transfer_is_followed_by_decode_side_prefill(tmp_path: Path) -> None:
    prefill, decode = pair()
    async with running(tmp_path, prefill, decode) as environment:
        await environment.request_until_served("/advice/x", headers=MODEL)
        decode.answers.append(reject_kv_transfer)
        response, body = await environment.request("/advice/x", headers=MODEL)
        assert (response.status, body) == (200, EVENTS)
        assert "X-Kv-Source" not in decode.arrivals[-1].headers
        async with asyncio.timeout(WAIT_SECONDS):
            while not prefill.freed:
                await asyncio.sleep(0.01)


async def test_a_long_prompt_whose_prefill_failed_is_rejected_without_decode_side_prefill(
    tmp_path: Path,
) -> None:
    """Guards against long decode-side prefills, which delay the worker's streams.

    Decode-side prefills of 20,000 and more tokens delayed every stream of a decode worker.
    """
    prefill, decode = pair()
    routes = json.loads(document(1))["routes"]
    once = {**routes[1], "max_attempts": 1}
    async with running(tmp_path, prefill, decode) as environment:
        changed = await environment.put_configuration(document(3, routes=[routes[0], once]), 2)
        assert changed.status == 200
        await environment.request_until_served("/advice/x", headers=MODEL)
        decode.arrivals.clear()
        prefill.answers.append(run_and_abort)
        uncached = "aa1e07a2:8000,bb402b7d:1000"
        long = {**MODEL, "X-Token-Usage": "9000,10", "X-Prefix-Hash": uncached}
        response, _ = await environment.request("/advice/x", headers=long)
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        assert decode.arrivals == []


async def test_a_request_without_a_prompt_never_visits_a_prefill_worker(tmp_path: Path) -> None:
    """A retry selects another decode worker.

    Guards against a request without a prompt that ran on a prefill worker after a loaded decode
    worker had failed.
    """
    prefill = EmulatedWorker("p", "wine-llm", "prefill")
    decoders = [EmulatedWorker(name, "wine-llm", "decode") for name in ("d1", "d2")]
    routes = json.loads(document(1))["routes"]
    # These limits are so long that no worker times out while the test runs.
    patient = {"target_latency_ms": 30_000, "timeout_ms": 60_000}
    resumable = {**routes[1], "resumable": True, "max_attempts": 2, **patient}
    async with running(tmp_path, prefill, *decoders) as environment:
        changed = await environment.put_configuration(document(3, routes=[routes[0], resumable]), 2)
        assert changed.status == 200
        await environment.request_until_served("/advice/x")
        for worker in decoders:
            worker.runs.clear()
            worker.answers.extend([hang] * 8)
        hanging = [asyncio.create_task(environment.request("/advice/x")) for _ in range(8)]
        async with asyncio.timeout(WAIT_SECONDS):
            while sum(len(worker.runs) for worker in decoders) < len(hanging):
                await asyncio.sleep(0.01)
        for worker in decoders:
            worker.runs.clear()
            worker.answers[:] = [fail]
        prefill.arrivals.clear()
        await environment.request("/advice/x")
        assert prefill.arrivals == []
        assert 1 <= sum(len(worker.runs) for worker in decoders) <= 2
        for task in hanging:
            task.cancel()


@pytest.mark.parametrize("answer", [run_and_abort, answer_unsigned, run_and_answer_503])
async def test_a_request_that_may_have_executed_runs_once_and_is_never_answered_as_not_executed(
    tmp_path: Path, answer: Answer
) -> None:
    workers = stock("s1", "s2")
    async with running(tmp_path, *workers) as environment:
        await environment.request_until_served("/stock/")
        for worker in workers:
            worker.answers.append(answer)
            worker.runs.clear()
        response, _ = await environment.request("/stock/")
        assert response.status == 502
        assert SIGNATURE not in response.headers
        assert sum(len(worker.runs) for worker in workers) == 1


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("route_type", ["safe", "unsafe", "streaming", "a kind of later days"])
@pytest.mark.parametrize("service", ["stock-api", "wine-llm"])
async def test_only_safe_requests_and_resumable_streams_run_again_after_a_lost_answer(
    tmp_path: Path, service: str, route_type: str, resumable: bool
) -> None:
    """Guards against ``unsafe`` requests that run twice because their route says ``resumable``."""
    stage = "decode" if service == "wine-llm" else ""
    workers = [EmulatedWorker(name, service, stage) for name in ("w1", "w2")]
    may_repeat = route_type == "safe" or (route_type == "streaming" and resumable)
    route = json.loads(document(1))["routes"][0]
    changed = {"service": service, "route_type": route_type, "resumable": resumable}
    async with running(tmp_path, *workers) as environment:
        routes = [{**route, **changed, "max_attempts": 2}]
        response = await environment.put_configuration(document(3, routes=routes), 2)
        assert response.status == 200
        await environment.request_until_served("/stock/")
        for worker in workers:
            worker.answers.append(run_and_abort)
            worker.runs.clear()
        response, _ = await environment.request("/stock/", headers={"X-Request-Id": "lost"})
        assert response.status == 502
        runs = sum(worker.runs.count("lost") for worker in workers)
        assert runs == (2 if may_repeat else 1)


async def test_a_rejected_request_is_retried_on_another_worker(tmp_path: Path) -> None:
    workers = stock("s1", "s2")
    async with running(tmp_path, *workers) as environment:
        await environment.request_until_served("/stock/")
        for worker in workers:
            worker.runs.clear()
            worker.arrivals.clear()
        workers[0].answers.append(reject)
        for _ in range(8):
            response, _ = await environment.request("/stock/")
            assert response.status == 200
        assert sum(len(worker.runs) for worker in workers) == 8


async def test_a_request_that_every_worker_rejects_gets_a_retry_after(tmp_path: Path) -> None:
    workers = stock("s1", "s2")
    async with running(tmp_path, *workers) as environment:
        await environment.request_until_served("/stock/")
        for worker in workers:
            worker.runs.clear()
            worker.answers.append(reject)
        response, _ = await environment.request("/stock/")
        assert response.status == 503
        assert 0 < float(response.headers["Retry-After"]) < 5
        assert all(not worker.runs for worker in workers)


async def test_an_aborted_stream_does_not_look_complete(tmp_path: Path) -> None:
    prefill, decode = pair()
    async with running(tmp_path, prefill, decode) as environment:
        await environment.request_until_served("/advice/x", headers=MODEL)
        decode.runs.clear()
        decode.answers.append(stream_and_abort)
        response, body = await environment.request("/advice/x", headers=MODEL)
        assert response.status == 200
        assert body is None
        assert len(decode.runs) == 1


def resumable(version: int, attempts: int) -> bytes:
    routes = json.loads(document(1))["routes"]
    advice = {**routes[1], "resumable": True, "max_attempts": attempts}
    return document(version, routes=[routes[0], advice])


async def test_a_stream_is_resumed_on_another_worker_within_one_response(tmp_path: Path) -> None:
    decoders = [EmulatedWorker(name, "wine-llm", "decode") for name in ("d1", "d2")]
    async with running(tmp_path, *decoders) as environment:
        assert (await environment.put_configuration(resumable(3, attempts=2), 2)).status == 200
        while any(not worker.runs for worker in decoders):
            await environment.request_until_served("/advice/x")
        response, body = await abort_once(environment, decoders)
        assert (response.status, body) == (200, EVENTS)
        assert response.headers[SIGNATURE] == "first"
        resumed_by = next(
            worker for worker in decoders if worker.arrivals[-1].headers.get("Last-Event-Id")
        )
        assert resumed_by.arrivals[-1].headers["Last-Event-Id"] == "0"
        assert resumed_by.arrivals[-1].headers["X-Expected-Version"] == "3"


async def abort_once(
    environment: PlatformEnvironment,
    decoders: list[EmulatedWorker],
    broken_answer: Answer = stream_and_abort_inside_an_event,
) -> tuple[aiohttp.ClientResponse, bytes | None]:
    """Send a request whose first worker aborts its stream and whose second one resumes it."""
    first, second = decoders

    async def abort_then_let_resume(
        worker: EmulatedWorker, request: web.Request
    ) -> web.StreamResponse:
        other = second if worker is first else first
        other.answers[:] = [resume_stream]
        return await broken_answer(worker, request)

    for worker in decoders:
        worker.answers[:] = [abort_then_let_resume]
    return await environment.request("/advice/x")


async def test_a_stream_that_may_not_be_resumed_is_aborted(tmp_path: Path) -> None:
    decoders = [EmulatedWorker(name, "wine-llm", "decode") for name in ("d1", "d2")]
    async with running(tmp_path, *decoders) as environment:
        assert (await environment.put_configuration(resumable(3, attempts=1), 2)).status == 200
        await environment.request_until_served("/advice/x")
        response, body = await abort_once(environment, decoders)
        assert (response.status, body) == (200, None)


CUT_INSIDE_EVENT = EVENTS[: EVENTS.index(b"id: 1") + len(b"id: 1\nda")]


async def test_a_stream_without_a_length_that_ends_inside_an_event_is_resumed(
    tmp_path: Path,
) -> None:
    """Guards against half a stream that ends as complete after its worker was killed."""
    decoders = [EmulatedWorker(name, "wine-llm", "decode") for name in ("d1", "d2")]
    async with running(tmp_path, *decoders) as environment:
        assert (await environment.put_configuration(resumable(3, attempts=2), 2)).status == 200
        while any(not worker.runs for worker in decoders):
            await environment.request_until_served("/advice/x")
        cut = stream_until_closed(CUT_INSIDE_EVENT)
        response, body = await abort_once(environment, decoders, cut)
        assert (response.status, body) == (200, EVENTS)


@pytest.mark.parametrize("is_resumable", [False, True])
@pytest.mark.parametrize("sent", [CUT_INSIDE_EVENT, b"id: 0\ndata: word\n", b""])
async def test_a_stream_without_a_length_that_ends_inside_an_event_does_not_look_complete(
    tmp_path: Path, sent: bytes, is_resumable: bool
) -> None:
    """Guards against half a stream that ends as complete where no other worker may resume it."""
    (decode,) = decoders = [EmulatedWorker("d1", "wine-llm", "decode")]
    async with running(tmp_path, *decoders) as environment:
        if is_resumable:
            with_resumption = resumable(3, attempts=1)
            assert (await environment.put_configuration(with_resumption, 2)).status == 200
        await environment.request_until_served("/advice/x")
        decode.answers.append(stream_until_closed(sent))
        response, body = await environment.request("/advice/x")
        assert (response.status, body) == (200, None)


@pytest.mark.parametrize("is_resumable", [False, True])
async def test_a_whole_stream_without_a_length_is_complete(
    tmp_path: Path, is_resumable: bool
) -> None:
    (decode,) = decoders = [EmulatedWorker("d1", "wine-llm", "decode")]
    async with running(tmp_path, *decoders) as environment:
        if is_resumable:
            with_resumption = resumable(3, attempts=1)
            assert (await environment.put_configuration(with_resumption, 2)).status == 200
        await environment.request_until_served("/advice/x")
        decode.answers.append(stream_until_closed(EVENTS))
        response, body = await environment.request("/advice/x")
        assert (response.status, body) == (200, EVENTS)


async def test_a_stream_that_a_worker_restarts_from_its_beginning_is_never_appended(
    tmp_path: Path,
) -> None:
    decoders = [EmulatedWorker(name, "wine-llm", "decode") for name in ("d1", "d2")]
    async with running(tmp_path, *decoders) as environment:
        assert (await environment.put_configuration(resumable(3, attempts=2), 2)).status == 200
        await environment.request_until_served("/advice/x")
        for worker in decoders:
            # The other worker responds normally: it does not resume, but starts at the first event.
            worker.answers.append(stream_and_abort_inside_an_event)
        decoders[1].answers.clear()
        for _ in range(12):
            if not decoders[0].answers:
                break
            response, body = await environment.request("/advice/x")
            assert body in {EVENTS, None}
        assert not decoders[0].answers
        assert body is None
        assert response.headers[SIGNATURE] == "first"


async def test_work_for_a_disconnected_caller_is_cancelled(tmp_path: Path) -> None:
    (worker,) = stock("s1")
    async with running(tmp_path, worker) as environment:
        await environment.request_until_served("/stock/")
        routes = json.loads(document(3))["routes"]
        for route in routes:
            # The timeout is so long that it does not end the work within this test.
            route["timeout_ms"] = 2000 * WAIT_SECONDS
        assert (await environment.put_configuration(document(3, routes=routes), 2)).status == 200
        worker.answers.append(hang)
        patient = {"X-Deadline-Ms": f"{2000 * WAIT_SECONDS:.0f}"}
        caller = asyncio.create_task(environment.request("/stock/", headers=patient))
        async with asyncio.timeout(WAIT_SECONDS):
            while worker.answers:
                await asyncio.sleep(0.01)
            caller.cancel()
            while not worker.cancelled:
                await asyncio.sleep(0.01)


async def test_a_request_is_answered_at_its_deadline(tmp_path: Path) -> None:
    (worker,) = stock("s1")
    async with running(tmp_path, worker) as environment:
        await environment.request_until_served("/stock/")
        worker.answers.append(hang)
        response, _ = await environment.request("/stock/", headers={"X-Deadline-Ms": "300"})
        assert response.status == 504
        assert int(worker.arrivals[-1].headers["X-Deadline-Ms"]) <= 300


@pytest.mark.parametrize(
    "raw",
    [
        b"GARBAGE\r\n\r\n",
        b"POST /stock/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
        b"POST /stock/ HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        b"POST /stock/ HTTP/1.1\r\nHost: shop.example\r\n\r\n",
        b"POST /stock/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q\r\n"
        b"X-Deadline-Ms: soon\r\n\r\n",
    ],
)
async def test_bad_requests_are_rejected_and_not_forwarded(tmp_path: Path, raw: bytes) -> None:
    (worker,) = stock("s1")
    async with running(tmp_path, worker, machines=3) as environment:
        await environment.request_until_served("/stock/")
        worker.arrivals.clear()
        reader, writer = await asyncio.open_connection(*environment.front_address(0))
        writer.write(raw)
        async with asyncio.timeout(WAIT_SECONDS):
            line = await reader.readline()
        writer.close()
        assert line.split()[1] == b"400"
        assert worker.arrivals == []


async def test_limits_of_the_configuration_are_enforced(tmp_path: Path) -> None:
    (worker,) = stock("s1")
    async with running(tmp_path, worker) as environment:
        await environment.request_until_served("/stock/")
        worker.arrivals.clear()
        for head, status in (
            (b"X-Large: " + b"a" * 20_000 + b"\r\n\r\n", b"431"),
            (b"Content-Length: 70000\r\n\r\n" + b"b" * 70_000, b"413"),
        ):
            reader, writer = await asyncio.open_connection(*environment.front_address(0))
            writer.write(
                b"POST /stock/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q\r\n" + head
            )
            async with asyncio.timeout(WAIT_SECONDS):
                line = await reader.readline()
            writer.close()
            assert line.split()[1] == status
        assert worker.arrivals == []


async def test_a_router_without_a_configuration_answers_503(
    tmp_path: Path,
) -> None:
    environment = PlatformEnvironment(tmp_path)
    await environment.start()
    try:
        assert not await environment.is_ready(0)
        response, _ = await environment.request("/stock/")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
    finally:
        await environment.stop()


UNUSUAL_MODEL = {
    "X-Model": "m",
    "X-Token-Usage": "73000,  080",
    "X-Prefix-Hash": "5C1E07A2:13000, e4402b7d:60000",
}
"""Prompt headers with spaces, capitals and leading zeros, which must not be normalized."""


@pytest.mark.parametrize("headers", [MODEL, UNUSUAL_MODEL], ids=["usual", "unusual"])
async def test_prompt_headers_of_a_client_reach_every_stage_unchanged(
    tmp_path: Path, headers: dict[str, str]
) -> None:
    prefill, decode = pair()
    async with running(tmp_path, prefill, decode) as environment:
        await environment.request_until_served("/advice/x", headers=headers)
        assert prefill.arrivals
        for arrival in (prefill.arrivals[-1], decode.arrivals[-1]):
            for name, value in headers.items():
                assert arrival.headers[name] == value.strip()


async def test_requests_open_at_the_timeout_of_their_route_get_a_final_response(
    tmp_path: Path,
) -> None:
    """The clients' deadlines are later than the timeout, and the workers never respond."""
    prefill, decode = pair()
    (worker,) = stock("s1")
    routes = json.loads(document(3))["routes"]
    for route in routes:
        route["timeout_ms"] = 400
    async with running(tmp_path, worker, prefill, decode) as environment:
        await environment.request_until_served("/stock/")
        await environment.request_until_served("/advice/x", headers=MODEL)
        assert (await environment.put_configuration(document(3, routes=routes), 2)).status == 200
        worker.answers.extend([hang] * 8)
        prefill.answers.extend([hang] * 8)
        pending = [
            environment.request("/stock/", headers={"X-Deadline-Ms": "60000"}) for _ in range(8)
        ]
        patient = {**MODEL, "X-Deadline-Ms": "60000"}
        pending += [environment.request("/advice/x", headers=patient) for _ in range(8)]
        async with asyncio.timeout(WAIT_SECONDS):
            answers = await asyncio.gather(*pending)
        statuses = {response.status for response, _ in answers}
        assert statuses <= {503, 504}
        for response, _ in answers:
            assert (response.status == 503) is ("Retry-After" in response.headers)


@pytest.mark.parametrize("is_sent", [False, True])
async def test_a_fault_of_the_router_is_answered_and_later_requests_are_served(
    tmp_path: Path, is_sent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers whose connection closes without an answer.

    The answer promises nothing, because the fault may have come after the request was sent.
    """
    (worker,) = stock("s1")
    send = UpstreamConnection.send

    def fail_to_send(
        self: UpstreamConnection, method: bytes, target: bytes, headers: Any, body: bytes
    ) -> None:
        if is_sent:
            send(self, method, target, headers, body)
        raise KeyError("fault")

    async with running(tmp_path, worker) as environment:
        await environment.request_until_served("/stock/x")
        monkeypatch.setattr(UpstreamConnection, "send", fail_to_send)
        failed = 0
        async with asyncio.timeout(WAIT_SECONDS):
            while failed < 3:
                response, body = await environment.request("/stock/x")
                # A router that has lost its lease rejects the request before it is sent.
                if response.status != 503:
                    assert (response.status, body) == (502, b"the router failed")
                    failed += 1
        monkeypatch.undo()
        assert await environment.request_until_served("/stock/x") == b"stock"


@pytest.mark.parametrize(
    "handle", ["", " ", "a b", "\u2603", "a\r\nX-Stage: prefill", "\x00", "h" * 5_000]
)
async def test_a_handle_that_fits_into_no_header_is_a_failed_prefill(
    tmp_path: Path, handle: str
) -> None:
    """Guards against requests that end with a fault of the router for what a worker sent."""
    prefill, decode = pair()

    async def prefill_badly(worker: EmulatedWorker, request: web.Request) -> web.StreamResponse:
        request_id = request.headers["X-Request-Id"]
        body = {"kv_handle": handle, "tokens": 10, "version": 1}
        return web.json_response(body, headers={"X-Request-Id": request_id})

    async with running(tmp_path, prefill, decode) as environment:
        await environment.request_until_served("/advice/x", headers=MODEL)
        prefill.answers.append(prefill_badly)
        response, body = await environment.request("/advice/x", headers=MODEL)
        assert response.status in {200, 503}
        assert body is not None
        assert await environment.request_until_served("/advice/x", headers=MODEL) == EVENTS


async def test_numbers_of_any_length_in_an_answer_are_relayed(tmp_path: Path) -> None:
    """Guards against answers that break off at a number of more digits than ``int`` converts."""
    decode = EmulatedWorker("d", "wine-llm", "decode")
    number = "9" * 5_000

    async def answer_at_length(worker: EmulatedWorker, request: web.Request) -> web.StreamResponse:
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            SIGNATURE: "sig",
            "X-Weight-Versions": number,
            "X-Server-Load": f"{number},0,6",
        }
        return web.Response(body=f"id: {number}\ndata: word\n\n".encode(), headers=headers)

    async with running(tmp_path, decode) as environment:
        assert (await environment.put_configuration(resumable(3, attempts=1), 2)).status == 200
        await environment.request_until_served("/advice/x")
        decode.answers.append(answer_at_length)
        response, body = await environment.request("/advice/x")
        assert (response.status, body) == (200, f"id: {number}\ndata: word\n\n".encode())
        assert response.headers["X-Weight-Versions"] == number
