"""The asyncio task that sends a back end's announcements."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from orchidpath.emulators.backend.announcing import AnnouncementPlan, Announcer
from orchidpath.emulators.backend.http_exchange import base_url
from orchidpath.emulators.backend.polling import wait_for_event, wait_until
from orchidpath.wire.backend import AnnouncementReply
from orchidpath.wire.records import WorkerRecord

ANNOUNCE_TIMEOUT_SECONDS = 0.5
"""An announcement that takes longer counts as failed."""

JSON_HEADERS = {"content-type": "application/json"}


class AnnounceLoop:
    """Sends announcements until its task is cancelled.

    Parameters
    ----------
    announcer : Announcer
        Chooses the address and the time of each announcement.
    session : aiohttp.ClientSession
        Session for the HTTP requests.
    current_record : callable
        Returns the current record of the back end.
    is_silent : callable
        Returns whether an injected fault suppresses announcements.
    """

    def __init__(
        self,
        announcer: Announcer,
        session: aiohttp.ClientSession,
        current_record: Callable[[], WorkerRecord],
        is_silent: Callable[[], bool],
    ) -> None:
        self._announcer = announcer
        self._session = session
        self._current_record = current_record
        self._is_silent = is_silent
        self._changed = asyncio.Event()
        self._acknowledged_record: WorkerRecord | None = None

    def is_acknowledged(self, record: WorkerRecord) -> bool:
        """Return whether this record was accepted, or there is no address to announce it to."""
        return record == self._acknowledged_record or not self._announcer.addresses

    def wake(self) -> None:
        """Check at once whether the record has changed."""
        self._changed.set()

    async def run(self) -> None:
        """Announce until the task is cancelled."""
        while True:
            await self._wait_until_due()
            now = asyncio.get_running_loop().time()
            plan = self._announcer.next_plan(self._current_record(), now)
            if plan is not None:
                reply = await self._send(plan)
                if reply is not None and reply.accepted:
                    self._acknowledged_record = plan.announcement.record
                self._announcer.on_reply(reply, asyncio.get_running_loop().time())

    async def _wait_until_due(self) -> None:
        clock = asyncio.get_running_loop().time
        while (seconds := self._announcer.due_in(self._current_record(), clock())) > 0:
            self._changed.clear()
            await wait_for_event(self._changed, seconds)
        await wait_until(lambda: not self._is_silent())

    async def _send(self, plan: AnnouncementPlan) -> AnnouncementReply | None:
        url = base_url(plan.address) + "/v1/workers/announce"
        body = msgspec.json.encode(plan.announcement)
        try:
            async with (
                asyncio.timeout(ANNOUNCE_TIMEOUT_SECONDS),
                self._session.post(url, data=body, headers=JSON_HEADERS) as response,
            ):
                if response.status != 200:
                    return None
                return msgspec.json.decode(await response.read(), type=AnnouncementReply)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            return None
