"""Forms or joins the fleet whenever this replica is not a member of it."""

import asyncio
from collections.abc import Callable

from orchidpath.common.settings import ControlSettings
from orchidpath.control.connections import ControlConnections
from orchidpath.control.replica.formation import (
    NoAnswerError,
    may_form_fleet,
    query_control_members,
)
from orchidpath.control.replica.replica_loop import ReplicaLoop
from orchidpath.wire.link_faults import LinkFaults
from orchidpath.wire.messages import ControlMembers, Hello, JoinRequest

JOIN_PERIOD_SECONDS = 0.5
"""Time between two tries of a replica that is not a member to form or join its fleet."""


class FleetJoiner:
    """Asks the members that it can find to add this replica.

    Parameters
    ----------
    settings
        Returns the settings now in force, which say where to look for members.
    hello
        What this process says of itself.
    replica_loop
        Runs the replica.
    connections
        Connections of this process.
    form_fleet
        Makes this replica the only voter of a new fleet.
    is_restored
        Whether the disk held anything at the start: then no fleet is formed.
    faults
        Injected faults, for tests.
    """

    def __init__(
        self,
        settings: Callable[[], ControlSettings],
        hello: Hello,
        replica_loop: ReplicaLoop,
        connections: ControlConnections,
        form_fleet: Callable[[], None],
        *,
        is_restored: bool,
        faults: LinkFaults | None = None,
    ) -> None:
        self._settings = settings
        self._hello = hello
        self._loop = replica_loop
        self._connections = connections
        self._form_fleet = form_fleet
        self._was_in_fleet = is_restored
        self._faults = faults

    async def run_forever(self) -> None:
        """Try to form or join whenever that is needed, until cancelled."""
        while True:
            if not self._loop.replica.is_member or not self._is_leader_known():
                await self._try_to_join()
            await asyncio.sleep(JOIN_PERIOD_SECONDS)

    def _is_leader_known(self) -> bool:
        """Whether a leader is heard: a replica that was removed while away hears none."""
        return self._loop.replica.raft.leader_id is not None

    async def _try_to_join(self) -> None:
        if await self._is_to_form_fleet():
            self._was_in_fleet = True
            self._form_fleet()
            return
        settings = self._settings()
        for address in dict.fromkeys([*settings.seeds, *settings.formation_members]):
            if address != settings.wire_address and await self._ask_to_join(address):
                return

    async def _is_to_form_fleet(self) -> bool:
        """Whether this replica knows of no fleet and is the one to form it."""
        settings = self._settings()
        is_new = not self._was_in_fleet and not self._loop.replica.raft.membership.members()
        if not is_new or not settings.may_vote:
            return False
        return await may_form_fleet(settings.wire_address, settings.formation_members, self._hello)

    async def _ask_to_join(self, address: str) -> bool:
        """Ask the leader that one process names to add this replica; False if none was asked."""
        try:
            answer = await query_control_members(address, self._hello, self._faults)
        except NoAnswerError:
            return False
        return self._request_join(answer)

    def _request_join(self, answer: ControlMembers) -> bool:
        own_member = self._loop.replica.member
        if any(member.node_id == own_member.node_id for member in answer.members):
            return True
        for member in answer.members:
            if member.node_id == answer.leader_id:
                connection = self._connections.linked(member.address)
                if connection is None:
                    return False
                connection.send(JoinRequest(member=own_member))
                return True
        return False
