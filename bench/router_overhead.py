"""Measures the overhead of one router: time to first token, time between tokens, and CPU time.

Three control processes, one router and emulated workers run as separate processes. One caller sends
requests alternately through the router and directly to the workers, so that noise of the machine
affects both paths. Then the CPU time of the router is measured at several rates of requests and
tokens per second. Prints one JSON line. docs/CAPACITY.md reports these figures.
"""

import argparse
import asyncio
import itertools
import sys
import tempfile
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import SystemRandom

import aiohttp
import msgspec

from control_cluster import (
    FLEET,
    ControlCluster,
    MeasuredProcess,
    end_on_sigterm,
    running_cluster,
)
from orchidpath.common.clock import monotonic_seconds
from orchidpath.common.logs import configure_logs
from orchidpath.common.settings import RouterSettings
from orchidpath.fleet.ports import LOOPBACK_HOST, choose_ports
from orchidpath.fleet.processes import stop_all
from orchidpath.tools.measuring import LinearFit, Point, Quantiles, fit_line, summarize
from orchidpath.tools.process_usage import read_usage
from orchidpath.tools.synthetic_fleet import MODEL, SERVICE
from orchidpath.wire.backend import ATTEMPT_HEADER, DecodeRequest, PrefillReply, PrefillRequest
from orchidpath.wire.records import Stage

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.1
DECODE_WORKERS = 4
PACED_TOKENS_PER_SECOND = 200.0
PROMPT = "which bottle goes with a late riddle " * 8
ROUTER_TOKEN_MARK = b'"content":"'
WORKER_TOKEN_MARK = b'"kind":"content"'


class Timing(msgspec.Struct, frozen=True):
    """Times of one streamed response."""

    first_token_seconds: float
    gaps: list[float]
    tokens: int


class PathResult(msgspec.Struct, frozen=True, kw_only=True):
    """Times of the requests on one path: through the router or directly to the workers."""

    first_token_seconds: Quantiles
    between_tokens_seconds: Quantiles


class LoadPoint(msgspec.Struct, frozen=True, kw_only=True):
    """CPU share of the router at one load, in requests or tokens per second."""

    per_second: float
    cpu_share: float


class OverheadResult(msgspec.Struct, frozen=True, kw_only=True):
    """All figures of one run."""

    pairs: int
    through_router: PathResult
    direct: PathResult
    added_first_token_p50_seconds: float
    added_first_token_p95_seconds: float
    added_between_tokens_p50_seconds: float
    added_between_tokens_p95_seconds: float
    idle_cpu_share: float
    idle_resident_mebibytes: float
    loaded_resident_mebibytes: float
    token_loads: list[LoadPoint]
    cpu_seconds_per_token: LinearFit
    request_loads: list[LoadPoint]
    cpu_seconds_per_request: LinearFit


class Bench(msgspec.Struct, frozen=True):
    """The router process and the URLs of the router and the workers."""

    router: MeasuredProcess
    router_url: str
    prefill_url: str
    decode_urls: list[str]


@asynccontextmanager
async def running_fleet(cluster: ControlCluster) -> AsyncIterator[Bench]:
    """Run one router and its workers, and stop them on exit, also after an error."""
    ports = choose_ports(3 + DECODE_WORKERS, SystemRandom())
    addresses = [f"{LOOPBACK_HOST}:{port}" for port in ports]
    with tempfile.TemporaryDirectory(prefix="orchidpath-bench-") as name:
        folder = Path(name)
        router = _make_router(folder, addresses[0], addresses[1], cluster.seeds)
        workers = [
            _make_worker(folder, number, address, addresses[1])
            for number, address in enumerate(addresses[2:])
        ]
        try:
            await router.start()
            for worker in workers:
                await worker.start()
            urls = [f"http://{address}" for address in addresses]
            bench = Bench(router, urls[1], urls[2], urls[3:])
            await _wait_until_serving(bench)
            yield bench
        finally:
            await stop_all([router, *workers], STOP_TIMEOUT_SECONDS)


def _make_router(folder: Path, wire: str, http: str, seeds: list[str]) -> MeasuredProcess:
    settings = RouterSettings(
        node_id="router", fleet=FLEET, wire_address=wire, http_address=http, seeds=seeds
    )
    path = folder / "router.json"
    path.write_bytes(msgspec.json.encode(settings))
    return MeasuredProcess("router", ["router", "-c", str(path)], folder / "router.log")


def _make_worker(folder: Path, number: int, address: str, router: str) -> MeasuredProcess:
    stage = Stage.DECODE if number else Stage.PREFILL
    name = f"worker-{number}"
    arguments = ["standin", "worker", "--id", name, "--service", SERVICE, "--stage", stage]
    arguments += ["--model", MODEL, "--port", address.rpartition(":")[2]]
    arguments += ["--announce", f"http://{router}", "--max-in-flight", "1000"]
    arguments += ["--decode-tokens-per-second", str(PACED_TOKENS_PER_SECOND)]
    arguments += ["--batch-slowdown", "0", "--prefill-overhead-seconds", "0.001"]
    return MeasuredProcess(name, arguments, folder / f"{name}.log")


async def _wait_until_serving(bench: Bench) -> None:
    async with asyncio.timeout(START_TIMEOUT_SECONDS), aiohttp.ClientSession() as session:
        while True:
            try:
                await send_through_router(session, bench, 2)
                await send_to_workers(session, bench, 2)
                return
            except (aiohttp.ClientError, msgspec.MsgspecError):
                await asyncio.sleep(POLL_SECONDS)


async def send_through_router(session: aiohttp.ClientSession, bench: Bench, tokens: int) -> Timing:
    """Send a request through the router and time its response."""
    body = msgspec.json.encode(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": tokens,
            "stream": True,
        }
    )
    headers = {"content-type": "application/json", "x-tenant": "bench"}
    url = f"{bench.router_url}/v1/chat/completions"
    started_at = monotonic_seconds()
    async with session.post(url, data=body, headers=headers) as response:
        response.raise_for_status()
        return await _time_tokens(response, ROUTER_TOKEN_MARK, started_at)


async def send_to_workers(session: aiohttp.ClientSession, bench: Bench, tokens: int) -> Timing:
    """Send a request to a prefill worker, then to a decode worker, and time the response.

    The router sends the same two requests.
    """
    request_id = uuid.uuid4().hex
    headers = {"content-type": "application/json", ATTEMPT_HEADER: request_id}
    prefill = PrefillRequest(
        request_id=request_id, attempt_id=request_id, model=MODEL, prompt=PROMPT
    )
    started_at = monotonic_seconds()
    async with session.post(
        f"{bench.prefill_url}/v1/prefill", data=msgspec.json.encode(prefill), headers=headers
    ) as response:
        response.raise_for_status()
        reply = msgspec.json.decode(await response.read(), type=PrefillReply)
    decode = DecodeRequest(
        request_id=request_id,
        attempt_id=request_id,
        model=MODEL,
        handle=reply.handle,
        max_tokens=tokens,
    )
    async with session.post(
        f"{bench.decode_urls[0]}/v1/decode", data=msgspec.json.encode(decode), headers=headers
    ) as response:
        response.raise_for_status()
        return await _time_tokens(response, WORKER_TOKEN_MARK, started_at)


async def _time_tokens(response: aiohttp.ClientResponse, mark: bytes, started_at: float) -> Timing:
    arrivals: list[float] = []
    async for chunk in response.content.iter_any():
        now = monotonic_seconds()
        arrivals += [now] * chunk.count(mark)
    gaps = [later - earlier for earlier, later in itertools.pairwise(arrivals)]
    return Timing(arrivals[0] - started_at, gaps, len(arrivals))


async def measure_pairs(bench: Bench, pairs: int, tokens: int) -> tuple[PathResult, PathResult]:
    """Send requests alternately through the router and directly to the workers."""
    through: list[Timing] = []
    direct: list[Timing] = []
    async with aiohttp.ClientSession() as session:
        for _ in range(pairs):
            through.append(await send_through_router(session, bench, tokens))
            direct.append(await send_to_workers(session, bench, tokens))
    return _path_result(through), _path_result(direct)


def _path_result(timings: list[Timing]) -> PathResult:
    return PathResult(
        first_token_seconds=summarize([timing.first_token_seconds for timing in timings]),
        between_tokens_seconds=summarize([gap for timing in timings for gap in timing.gaps]),
    )


async def measure_tokens(bench: Bench, streams: int, seconds: float) -> LoadPoint:
    """Run concurrent streams and return their token rate and the CPU share of the router."""
    tokens = round(seconds * PACED_TOKENS_PER_SECOND)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        before = read_usage(bench.router.process_id)
        requests = (send_through_router(session, bench, tokens) for _ in range(streams))
        timings = await asyncio.gather(*requests)
        after = read_usage(bench.router.process_id)
    elapsed = after.at_seconds - before.at_seconds
    return LoadPoint(
        per_second=sum(timing.tokens for timing in timings) / elapsed,
        cpu_share=after.cpu_share_since(before),
    )


async def measure_requests(bench: Bench, per_second: float, seconds: float) -> LoadPoint:
    """Send requests of one token at a fixed rate, without waiting for earlier responses."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        before = read_usage(bench.router.process_id)
        requests = []
        for number in range(round(per_second * seconds)):
            due = before.at_seconds + number / per_second
            await asyncio.sleep(max(0.0, due - monotonic_seconds()))
            requests.append(asyncio.create_task(send_through_router(session, bench, 1)))
        await asyncio.gather(*requests)
        after = read_usage(bench.router.process_id)
    return LoadPoint(
        per_second=len(requests) / (after.at_seconds - before.at_seconds),
        cpu_share=after.cpu_share_since(before),
    )


async def measure(pairs: int, tokens: int, seconds: float) -> OverheadResult:
    """Run all measurements once."""
    async with running_cluster(3) as cluster, running_fleet(cluster) as bench:
        before = read_usage(bench.router.process_id)
        await asyncio.sleep(seconds)
        idle = read_usage(bench.router.process_id)
        through, direct = await measure_pairs(bench, pairs, tokens)
        token_loads = [await measure_tokens(bench, streams, seconds) for streams in (2, 5, 10, 20)]
        request_loads = [
            await measure_requests(bench, per_second, seconds) for per_second in (5.0, 20.0, 50.0)
        ]
        loaded = read_usage(bench.router.process_id)
    return OverheadResult(
        pairs=pairs,
        through_router=through,
        direct=direct,
        added_first_token_p50_seconds=(
            through.first_token_seconds.p50 - direct.first_token_seconds.p50
        ),
        added_first_token_p95_seconds=(
            through.first_token_seconds.p95 - direct.first_token_seconds.p95
        ),
        added_between_tokens_p50_seconds=(
            through.between_tokens_seconds.p50 - direct.between_tokens_seconds.p50
        ),
        added_between_tokens_p95_seconds=(
            through.between_tokens_seconds.p95 - direct.between_tokens_seconds.p95
        ),
        idle_cpu_share=idle.cpu_share_since(before),
        idle_resident_mebibytes=idle.resident_bytes / 2**20,
        loaded_resident_mebibytes=loaded.resident_bytes / 2**20,
        token_loads=token_loads,
        cpu_seconds_per_token=_fit(token_loads),
        request_loads=request_loads,
        cpu_seconds_per_request=_fit(request_loads),
    )


def _fit(loads: list[LoadPoint]) -> LinearFit:
    return fit_line([Point(load.per_second, load.cpu_share) for load in loads])


def main() -> None:
    """Measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--pairs", type=int, default=100)
    parser.add_argument("--tokens", type=int, default=30)
    parser.add_argument("--seconds", type=float, default=5.0)
    arguments = parser.parse_args()
    configure_logs("warning", node_id="bench", role="bench")
    end_on_sigterm()
    result = asyncio.run(measure(arguments.pairs, arguments.tokens, arguments.seconds))
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


if __name__ == "__main__":
    main()
