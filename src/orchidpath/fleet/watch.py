"""Monitors the control tier of a running fleet: its leader and newest configuration version."""

import asyncio

from orchidpath.consensus.types import Role
from orchidpath.control.api.operator_bodies import StatusBody
from orchidpath.control.api.operator_client import OperatorClient

WATCH_PERIOD_SECONDS = 0.5
"""Time between two status requests."""


class ControlWatch:
    """Last observed state of the control tier.

    Parameters
    ----------
    client
        Client of every control process.
    """

    def __init__(self, client: OperatorClient) -> None:
        self._client = client
        self.leader_name = ""
        self.configuration_version = 0

    async def run(self) -> None:
        """Refresh every :data:`WATCH_PERIOD_SECONDS` until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(WATCH_PERIOD_SECONDS)

    async def refresh(self) -> None:
        """Query the status of every control process once."""
        statuses = await self._client.statuses()
        self.update([status for status in statuses.values() if status is not None])

    def update(self, statuses: list[StatusBody]) -> None:
        """Update the state from statuses; of two leaders the one with the higher term counts."""
        leaders = [status for status in statuses if status.role is Role.LEADER]
        leader = max(leaders, key=lambda status: status.term, default=None)
        # The node id of a replica is "name.identity".
        self.leader_name = leader.node_id.rpartition(".")[0] if leader is not None else ""
        for status in statuses:
            version = max(self.configuration_version, status.configuration_version)
            self.configuration_version = version
