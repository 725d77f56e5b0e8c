"""Requests in progress while a configuration moves their route and removes their service.

A request is served by the service that it was routed to, whatever later configurations list.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web
from platform_environment import (
    SIGNATURE,
    WAIT_SECONDS,
    EmulatedWorker,
    PlatformEnvironment,
    document,
    reject,
    reject_kv_transfer,
    resume_stream,
    running,
)

MODEL = {
    "X-Model": "m",
    "X-Token-Usage": "73000,80",
    "X-Prefix-Hash": "5c1e07a2:13000,e4402b7d:60000",
}
EVENTS = b"".join(f"id: {number}\ndata: word\n\n".encode() for number in range(3))
STOCK, ADVICE = json.loads(document(1))["routes"]
STOCK_SERVICE, WINE_SERVICE = json.loads(document(1))["services"]
NEW_STOCK = {**STOCK_SERVICE, "name": "new-stock"}
NEW_WINE = {**WINE_SERVICE, "name": "new-wine"}
MOVED_STOCK = {**STOCK, "service": "new-stock"}
MOVED_ADVICE = {**ADVICE, "traffic_split": [{"service": "new-wine", "weight": 1}]}


class Gate:
    """Holds the next request of a worker back until the test lets it go on."""

    def __init__(self, worker: EmulatedWorker) -> None:
        self.has_arrived = asyncio.Event()
        self.may_go_on = asyncio.Event()
        worker.answers.append(self._answer)

    async def _answer(self, worker: EmulatedWorker, request: web.Request) -> web.StreamResponse:
        self.has_arrived.set()
        await self.may_go_on.wait()
        if worker.answers:
            return await worker.answers.pop(0)(worker, request)
        return await worker.answer_normally(request)


Change = Callable[[PlatformEnvironment, int], Awaitable[int]]
"""Changes the configuration of a version, and returns the status."""


async def replace_services(environment: PlatformEnvironment, base: int) -> int:
    """Replace both services and move their routes, by a whole configuration."""
    moved = document(base + 1, routes=[MOVED_STOCK, MOVED_ADVICE], services=[NEW_STOCK, NEW_WINE])
    return (await environment.put_configuration(moved, base)).status


async def remove_routes_and_services(environment: PlatformEnvironment, base: int) -> int:
    """Remove every route and service, by a whole configuration."""
    empty = document(base + 1, routes=[], services=[])
    return (await environment.put_configuration(empty, base)).status


async def patch_services(environment: PlatformEnvironment, base: int) -> int:
    """Replace both services and move their routes, by a change."""
    moved: dict[str, Any] = {
        "version": base + 1,
        "upsert": {"routes": [MOVED_STOCK, MOVED_ADVICE], "services": [NEW_STOCK, NEW_WINE]},
        "remove": {"services": ["stock-api", "wine-llm"]},
    }
    return (await environment.patch_configuration(json.dumps(moved).encode(), base)).status


async def change_while_waiting(
    environment: PlatformEnvironment, gate: Gate, change: Change, path: str
) -> tuple[int, bytes | None]:
    """Send a request, change the configuration while it waits at the gate, and return its answer.

    The gate opens once every router serves by the new configuration.
    """
    headers = MODEL if path.startswith("/advice/") else {}
    request = asyncio.create_task(environment.request(path, headers=headers))
    async with asyncio.timeout(WAIT_SECONDS):
        await gate.has_arrived.wait()
        assert await change(environment, 2) == 200
    gate.may_go_on.set()
    response, body = await request
    return response.status, body


CHANGES = [replace_services, remove_routes_and_services, patch_services]


@pytest.mark.parametrize("change", CHANGES)
async def test_a_request_whose_service_was_removed_during_the_prefill_is_decoded(
    tmp_path: Path, change: Change
) -> None:
    """Guards against requests that are cut off when their service leaves the configuration."""
    prefill = EmulatedWorker("p", "wine-llm", "prefill")
    decode = EmulatedWorker("d", "wine-llm", "decode")
    async with running(tmp_path, prefill, decode) as environment:
        await environment.request_until_served("/advice/x", headers=MODEL)
        gate = Gate(prefill)
        assert await change_while_waiting(environment, gate, change, "/advice/x") == (200, EVENTS)


@pytest.mark.parametrize("change", CHANGES)
async def test_a_refused_request_of_a_removed_service_gets_its_second_worker(
    tmp_path: Path, change: Change
) -> None:
    """Guards against refused requests that are cut off when their service is removed."""
    workers = [EmulatedWorker(name, "stock-api") for name in ("s1", "s2")]
    async with running(tmp_path, *workers) as environment:
        for worker in workers:
            await wait_until_used(environment, worker)
        arrived, may_go_on = asyncio.Event(), asyncio.Event()
        refusals = 0

        async def refuse_once(worker: EmulatedWorker, request: web.Request) -> web.StreamResponse:
            nonlocal refusals
            arrived.set()
            await may_go_on.wait()
            refusals += 1
            if refusals == 1:
                return await reject(worker, request)
            return await worker.answer_normally(request)

        for worker in workers:
            worker.answers.append(refuse_once)
        request = asyncio.create_task(environment.request("/stock/x"))
        async with asyncio.timeout(WAIT_SECONDS):
            await arrived.wait()
            assert await change(environment, 2) == 200
        may_go_on.set()
        response, body = await request
        assert (response.status, body, refusals) == (200, b"stock", 2)


async def wait_until_used(environment: PlatformEnvironment, worker: EmulatedWorker) -> None:
    """Send requests until this worker has run one."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not worker.runs:
            await environment.request_until_served("/stock/x")


@pytest.mark.parametrize("change", CHANGES)
async def test_a_failed_transfer_of_a_removed_service_is_followed_by_decode_side_prefill(
    tmp_path: Path, change: Change
) -> None:
    """Guards against requests that are cut off between a failed transfer and the next attempt."""
    prefill = EmulatedWorker("p", "wine-llm", "prefill")
    decode = EmulatedWorker("d", "wine-llm", "decode")
    async with running(tmp_path, prefill, decode) as environment:
        await environment.request_until_served("/advice/x", headers=MODEL)
        gate = Gate(decode)
        decode.answers.append(reject_kv_transfer)
        assert await change_while_waiting(environment, gate, change, "/advice/x") == (200, EVENTS)


@pytest.mark.parametrize("change", CHANGES)
async def test_a_stream_of_a_removed_service_is_resumed_at_its_second_worker(
    tmp_path: Path, change: Change
) -> None:
    """Guards against streams that break off for good when their service is removed."""
    decodes = [EmulatedWorker(name, "wine-llm", "decode") for name in ("d1", "d2")]
    resumable = {**ADVICE, "resumable": True, "max_attempts": 2}
    async with running(tmp_path, *decodes) as environment:
        resumable_document = document(3, routes=[STOCK, resumable])
        assert (await environment.put_configuration(resumable_document, 2)).status == 200
        await environment.request_until_served("/advice/x")
        has_begun, may_break = asyncio.Event(), asyncio.Event()

        async def break_or_resume(
            worker: EmulatedWorker, request: web.Request
        ) -> web.StreamResponse:
            if "Last-Event-Id" in request.headers:
                return await resume_stream(worker, request)
            request_id = request.headers["X-Request-Id"]
            worker.runs.append(request_id)
            response = web.StreamResponse(headers={"X-Request-Id": request_id, SIGNATURE: "first"})
            await response.prepare(request)
            await response.write(b"id: 0\ndata: word\n\n")
            has_begun.set()
            await may_break.wait()
            assert request.transport is not None
            request.transport.abort()
            return response

        for worker in decodes:
            worker.answers += [break_or_resume, break_or_resume]
        request = asyncio.create_task(environment.request("/advice/x"))
        async with asyncio.timeout(WAIT_SECONDS):
            await has_begun.wait()
            assert await change(environment, 3) == 200
        may_break.set()
        response, body = await request
        assert (response.status, body) == (200, EVENTS)


@pytest.mark.parametrize("change", CHANGES)
async def test_a_stream_goes_on_when_its_service_is_removed(tmp_path: Path, change: Change) -> None:
    """Guards against streams that end early when their service is removed."""
    decode = EmulatedWorker("d", "wine-llm", "decode")
    has_begun, may_go_on = asyncio.Event(), asyncio.Event()

    async def stream_slowly(worker: EmulatedWorker, request: web.Request) -> web.StreamResponse:
        headers = {"X-Request-Id": request.headers["X-Request-Id"], SIGNATURE: "sig"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(EVENTS[:10])
        has_begun.set()
        await may_go_on.wait()
        await response.write(EVENTS[10:])
        await response.write_eof()
        return response

    async with running(tmp_path, decode) as environment:
        await environment.request_until_served("/advice/x")
        decode.answers.append(stream_slowly)
        request = asyncio.create_task(environment.request("/advice/x"))
        async with asyncio.timeout(WAIT_SECONDS):
            await has_begun.wait()
            assert await change(environment, 2) == 200
        may_go_on.set()
        response, body = await request
        assert (response.status, body) == (200, EVENTS)


@pytest.mark.parametrize("change", CHANGES)
async def test_a_request_that_waits_for_a_prefix_is_served_after_its_service_was_removed(
    tmp_path: Path, change: Change
) -> None:
    """Guards against requests that are cut off while the leader postpones their decision."""
    prefill = EmulatedWorker("p", "wine-llm", "prefill")
    decode = EmulatedWorker("d", "wine-llm", "decode")
    async with running(tmp_path, prefill, decode) as environment:
        await environment.request_until_served("/advice/x", headers=MODEL)
        gate = Gate(prefill)
        uncached = {**MODEL, "X-Prefix-Hash": "aa1e07a2:13000,bb402b7d:60000"}
        first = asyncio.create_task(environment.request("/advice/x", headers=uncached))
        async with asyncio.timeout(WAIT_SECONDS):
            await gate.has_arrived.wait()
        second = asyncio.create_task(environment.request("/advice/x", headers=uncached))
        await asyncio.sleep(0.2)
        assert await change(environment, 2) == 200
        gate.may_go_on.set()
        for task in (first, second):
            response, body = await task
            assert (response.status, body) == (200, EVENTS)


async def test_a_body_that_still_arrives_is_routed_by_the_configuration_at_its_end(
    tmp_path: Path,
) -> None:
    """Guards against a request that is cut off while it is read and its service is removed."""
    old, new = EmulatedWorker("s1", "stock-api"), EmulatedWorker("n1", "new-stock")
    async with running(tmp_path, old, new) as environment:
        await environment.request_until_served("/stock/x")
        reader, writer = await asyncio.open_connection(*environment.front_address(0))
        writer.write(
            b"POST /stock/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: slow\r\n"
            b"Content-Length: 8\r\nConnection: close\r\n\r\nthe "
        )
        await writer.drain()
        assert await replace_services(environment, 2) == 200
        await environment.request_until_served("/stock/y")
        writer.write(b"body")
        async with asyncio.timeout(WAIT_SECONDS):
            answer = await reader.read()
        writer.close()
        assert answer.startswith(b"HTTP/1.1 200")
        assert "slow" in new.runs
        assert "slow" not in old.runs
