"""The asyncio shell that sends a back end's announcements."""

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
"""An address that takes longer is passed over."""

JSON_HEADERS = {"content-type": "application/json"}


class AnnounceLoop:
    """Sends announcements until it is stopped.

    Parameters
    ----------
    announcer : Announcer
        Decides where and when.
    session : aiohttp.ClientSession
        Sends.
    current_record : callable
        Returns the back end as it is now.
    is_silent : callable
        Tells whether an injected fault keeps the back end from announcing.
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
        """Whether a process has accepted this record, or no address is known."""
        return record == self._acknowledged_record or not self._announcer.addresses

    def wake(self) -> None:
        """Look at once whether the record has changed."""
        self._changed.set()

    async def run(self) -> None:
        """Announce for ever; ended by cancelling the task."""
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
