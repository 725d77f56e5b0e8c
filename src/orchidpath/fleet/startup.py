"""Brings a started fleet into service.

The steps are: a leader is elected, the initial configuration is confirmed, every router is ready,
and every worker is announced.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import aiohttp

from orchidpath.common.errors import OrchidpathError
from orchidpath.control.api.operator_client import (
    NoControlAnswersError,
    OperatorClient,
    UpdateOutcomeUnknownError,
    UpdateRejectedError,
)
from orchidpath.fleet.file import FleetFile
from orchidpath.fleet.layout import FleetLayout, ProcessKind

STEP_TIMEOUT_SECONDS = 60.0
"""Timeout of each step of the start."""

POLL_SECONDS = 0.2
"""Time between two checks of a condition that is awaited."""

PROBE_TIMEOUT_SECONDS = 1.0
INITIAL_ORDER_ID = "fleet-initial-configuration"


class FleetStartError(OrchidpathError):
    """The fleet did not come into service, because a step timed out or a process exited."""


async def bring_into_service(fleet: FleetFile, layout: FleetLayout, client: OperatorClient) -> None:
    """Submit the initial configuration and wait until the fleet is in service.

    Raises
    ------
    FleetStartError
        A step took longer than :data:`STEP_TIMEOUT_SECONDS`.
    """
    routers = [plan.http_address for plan in layout.of_kind(ProcessKind.ROUTER)]
    await _poll("no control leader", lambda: _has_leader(client))
    await _poll("initial configuration not confirmed", lambda: _configure(fleet, client))
    async with aiohttp.ClientSession() as session:
        await _poll("not every router is ready", lambda: _all_ready(session, routers))
    await _poll("not every worker is announced", lambda: _all_announced(client, len(fleet.workers)))


async def _poll(failure: str, step: Callable[[], Awaitable[bool]]) -> None:
    try:
        async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
            while True:
                if await step():
                    return
                await asyncio.sleep(POLL_SECONDS)
    except TimeoutError as error:
        raise FleetStartError(f"{failure} after {STEP_TIMEOUT_SECONDS:.0f} s") from error


async def _has_leader(client: OperatorClient) -> bool:
    try:
        await client.configuration()
    except NoControlAnswersError:
        return False
    return True


async def _configure(fleet: FleetFile, client: OperatorClient) -> bool:
    # The configuration of a new fleet has version 0. The order id makes the submission idempotent,
    # so that repeated attempts take effect once.
    try:
        reply = await client.submit(INITIAL_ORDER_ID, 0, fleet.configuration)
    except (UpdateRejectedError, UpdateOutcomeUnknownError):
        return False
    return reply.confirmed


async def _all_ready(session: aiohttp.ClientSession, routers: Sequence[str]) -> bool:
    ready = await asyncio.gather(*(_is_ready(session, router) for router in routers))
    return all(ready)


async def _is_ready(session: aiohttp.ClientSession, router: str) -> bool:
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
    try:
        async with session.get(f"http://{router}/health/ready", timeout=timeout) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def _all_announced(client: OperatorClient, count: int) -> bool:
    try:
        body = await client.workers()
    except NoControlAnswersError:
        return False
    return len(body.workers) >= count
