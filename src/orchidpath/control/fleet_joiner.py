"""Forms or joins the fleet while this replica is not a member of it or has no leader."""

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
"""Time between two attempts of a replica to form or join its fleet."""


class FleetJoiner:
    """Forms a new fleet, or requests that the leader of the existing one adds this replica.

    Parameters
    ----------
    settings
        Returns the current settings, which list the addresses of possible members.
    hello
        Description of this process, sent to each peer.
    replica_loop
        Runs the replica.
    connections
        Connections of this process; the join request is sent over them.
    form_fleet
        Makes this replica the only voter of a new fleet.
    is_restored
        Whether a log was restored from disk at the start; if so, no new fleet is formed.
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
        """Try to form or join the fleet while that is needed; runs until it is cancelled."""
        while True:
            if not self._loop.replica.is_member or not self._is_leader_known():
                await self._try_to_join()
            await asyncio.sleep(JOIN_PERIOD_SECONDS)

    def _is_leader_known(self) -> bool:
        """Whether the replica has a leader.

        A replica that was removed from the fleet while it was disconnected receives from none.
        """
        return self._loop.replica.raft.leader_id is not None

    async def _try_to_join(self) -> None:
        if await self._should_form_fleet():
            self._was_in_fleet = True
            self._form_fleet()
            return
        settings = self._settings()
        for address in dict.fromkeys([*settings.seeds, *settings.formation_members]):
            if address != settings.wire_address and await self._join_through(address):
                return

    async def _should_form_fleet(self) -> bool:
        """Whether this replica belongs to no fleet and is the one that must form it."""
        settings = self._settings()
        is_new = not self._was_in_fleet and not self._loop.replica.raft.membership.members()
        if not is_new or not settings.may_vote:
            return False
        return await may_form_fleet(settings.wire_address, settings.formation_members, self._hello)

    async def _join_through(self, address: str) -> bool:
        """Send a join request to the leader that the process at an address names.

        Returns False if no request could be sent, so that the next address is tried; True also if
        the process lists this replica as a member already.
        """
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
                connection = self._connections.get_or_start_link(member.address)
                if connection is None:
                    return False
                connection.send(JoinRequest(member=own_member))
                return True
        return False
