"""Emulated callers on asyncio: an open-loop load on the routers of a fleet."""

import asyncio
import random
from collections.abc import Callable
from typing import IO

import aiohttp
import msgspec

from orchidpath.emulators.backend.polling import wait_for_event
from orchidpath.emulators.client.arrivals import Arrival, all_arrivals
from orchidpath.emulators.client.caller_report import (
    CallerProgress,
    CallerSummary,
    CallerTally,
    RequestResult,
    result_of,
)
from orchidpath.emulators.client.request_plan import PlannedRequest, RequestPlanner
from orchidpath.emulators.client.return_policy import ReturnPolicy, may_return, pause_seconds
from orchidpath.emulators.client.router_client import (
    RouterClient,
    RouterUnreachableError,
    make_session,
)
from orchidpath.emulators.client.router_selection import RouterSelection
from orchidpath.emulators.client.traffic_mix import TrafficMix
from orchidpath.emulators.client.verification import Outcome

PROBE_PERIOD_SECONDS = 0.5
"""Interval between two readiness probes of a router."""

PROBE_TIMEOUT_SECONDS = 0.5
"""A router that takes longer to answer a probe counts as unready."""

MAX_OUTSTANDING = 5000
"""Maximum number of outstanding requests; a request due beyond it is counted as not sent."""


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Targets, load and limits of the callers of one process.

    ``returns`` is the retry policy. ``history`` names a file to which one JSON
    line is appended for every request that has ended.
    """

    routers: tuple[str, ...]
    mix: TrafficMix
    for_seconds: float
    run_id: str
    seed: int = 0
    timeout_seconds: float = 60.0
    drain_seconds: float = 60.0
    returns: ReturnPolicy = ReturnPolicy()
    history: str = ""


class Callers:
    """Sends the load of all callers of one process.

    Parameters
    ----------
    settings : CallerSettings
        Targets, load and limits.
    on_progress : callable
        Called with the progress report of each second.
    """

    def __init__(
        self, settings: CallerSettings, on_progress: Callable[[CallerProgress], None]
    ) -> None:
        self._settings = settings
        self._on_progress = on_progress
        self._tally = CallerTally()
        self._selection = RouterSelection(list(settings.routers))
        self._generator = random.Random(f"{settings.seed}:returns")
        self._planner = RequestPlanner(
            settings.mix, settings.run_id, random.Random(f"{settings.seed}:requests")
        )
        self._stopping = asyncio.Event()
        self._outstanding: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None
        self._client: RouterClient | None = None
        self._history: IO[bytes] | None = None

    def stop(self) -> None:
        """Send no new requests; outstanding requests may still finish."""
        self._stopping.set()

    async def run(self) -> CallerSummary:
        """Send all requests and return the summary.

        After the last request, outstanding requests have at most ``drain_seconds`` to finish.
        """
        clock = asyncio.get_running_loop().time
        self._session = make_session()
        self._client = RouterClient(
            self._session,
            self._tally.first_token,
            self._tally.between_tokens,
            self._settings.timeout_seconds,
        )
        if self._settings.history:
            self._history = open(self._settings.history, "ab", buffering=0)  # noqa: ASYNC230, SIM115
        await asyncio.gather(*(self._probe(router) for router in self._selection.routers))
        started_at = clock()
        background_tasks = [
            asyncio.create_task(self._report_forever(started_at)),
            *(
                asyncio.create_task(self._probe_forever(router))
                for router in self._settings.routers
            ),
        ]
        try:
            await self._send_all(started_at)
            await self._drain()
        finally:
            await self._close(background_tasks)
        return self._tally.summary(clock() - started_at)

    async def _send_all(self, started_at: float) -> None:
        arrivals = all_arrivals(self._settings.mix, self._settings.for_seconds, self._settings.seed)
        for arrival in arrivals:
            await self._pause_until(started_at + arrival.at_seconds)
            if self._stopping.is_set():
                return
            self._send_due(arrival, started_at)
        await self._pause_until(started_at + self._settings.for_seconds)

    async def _pause_until(self, at: float) -> None:
        seconds = at - asyncio.get_running_loop().time()
        if seconds <= 0:
            # Lets other tasks process responses even when sending is behind schedule.
            await asyncio.sleep(0)
            return
        await wait_for_event(self._stopping, seconds)

    def _send_due(self, arrival: Arrival, started_at: float) -> None:
        self._tally.due += 1
        if len(self._outstanding) >= MAX_OUTSTANDING:
            self._tally.not_sent += 1
            return
        request = self._planner.plan(arrival.stream)
        task = asyncio.create_task(
            self._send_with_retries(request, started_at + arrival.at_seconds)
        )
        self._outstanding.add(task)
        task.add_done_callback(self._outstanding.discard)

    async def _send_with_retries(self, request: PlannedRequest, due_at: float) -> None:
        attempts = 1
        result = result_of(request, Outcome.TIMED_OUT)
        try:
            result = await self._try_routers(request, due_at, attempts)
            while may_return(result, self._settings.returns) and await self._wait_before_retry(
                result
            ):
                attempts += 1
                self._tally.returns += 1
                now = asyncio.get_running_loop().time()
                result = await self._try_routers(request, now, attempts)
        finally:
            # Also runs when the request is cancelled at the end of the run, so that every request
            # is counted.
            self._record(result)

    async def _wait_before_retry(self, result: RequestResult) -> bool:
        pause = pause_seconds(result, self._settings.returns, self._generator)
        return not await wait_for_event(self._stopping, pause)

    async def _try_routers(
        self, request: PlannedRequest, due_at: float, attempts: int
    ) -> RequestResult:
        assert self._client is not None
        for router in self._selection.preferred_routers(request.caller_id):
            try:
                result = await self._client.send(request, router, due_at)
            except RouterUnreachableError:
                # Nothing was sent, so the same request may safely be sent to the next router.
                self._selection.set_ready(router, ready=False)
                continue
            return msgspec.structs.replace(result, attempts=attempts)
        unreachable = result_of(request, Outcome.UNREACHABLE)
        return msgspec.structs.replace(unreachable, attempts=attempts)

    def _record(self, result: RequestResult) -> None:
        self._tally.add(result)
        if self._history is not None:
            self._history.write(msgspec.json.encode(result) + b"\n")

    async def _drain(self) -> None:
        self._stopping.set()
        if self._outstanding:
            await asyncio.wait(self._outstanding, timeout=self._settings.drain_seconds)

    async def _close(self, background_tasks: list[asyncio.Task[None]]) -> None:
        tasks = [*background_tasks, *self._outstanding]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        if self._history is not None:
            self._history.close()

    async def _report_forever(self, started_at: float) -> None:
        second = 0
        while True:
            second += 1
            seconds = started_at + second - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, seconds))
            progress = self._tally.progress(
                second, len(self._outstanding), self._selection.ready_count
            )
            self._on_progress(progress)

    async def _probe_forever(self, router: str) -> None:
        while True:
            await asyncio.sleep(PROBE_PERIOD_SECONDS)
            await self._probe(router)

    async def _probe(self, router: str) -> None:
        assert self._session is not None
        try:
            async with (
                asyncio.timeout(PROBE_TIMEOUT_SECONDS),
                self._session.get(f"{router}/health/ready") as response,
            ):
                self._selection.set_ready(router, response.status == 200)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._selection.set_ready(router, ready=False)
