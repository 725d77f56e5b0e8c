"""Synthetic routers and the traffic count, over real connections to a scripted leader."""

import asyncio

from orchidpath.tools.synthetic_fleet import (
    SyntheticFleet,
    SyntheticListener,
    SyntheticSize,
    worker_record,
)
from orchidpath.tools.traffic_count import count_traffic
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.connection import Connection
from orchidpath.wire.listener import Listener
from orchidpath.wire.messages import (
    ControlMembers,
    FleetUpdate,
    FleetUpdateRequest,
    Hello,
    Message,
    ProcessRole,
    RouterHeartbeat,
    RouterHeartbeatReply,
    WhoIsControl,
)
from orchidpath.wire.records import ControlMember, FleetView, Stage

FLEET = "hollow"


class ScriptedLeader:
    """Replies like a leader whose only configuration has version 5."""

    def __init__(self) -> None:
        hello = Hello(
            node_id="leader",
            incarnation="1",
            role=ProcessRole.CONTROL,
            address="127.0.0.1:0",
            fleet=FLEET,
        )
        self.listener = Listener("127.0.0.1:0", hello, on_message=self._answer)

    def _answer(self, connection: Connection, message: Message) -> None:
        match message:
            case WhoIsControl():
                member = ControlMember(node_id="leader", address=self.listener.address)
                connection.send(ControlMembers(term=1, leader_id="leader", members=(member,)))
            case RouterHeartbeat():
                reply = RouterHeartbeatReply(
                    term=1, sequence=message.sequence, revision=5, registered=True
                )
                connection.send(reply)
            case FleetUpdateRequest():
                view = FleetView(revision=5, configuration_version=5, configuration=Configuration())
                connection.send(FleetUpdate(revision=5, configuration_version=5, view=view))
            case _:
                pass


async def test_synthetic_routers_get_leases_and_are_counted() -> None:
    leader = ScriptedLeader()
    await leader.listener.start()
    size = SyntheticSize(routers=2)
    fleet = SyntheticFleet(size, FLEET, ["127.0.0.1:0"] * 2, [leader.listener.address])
    with count_traffic() as traffic:
        try:
            await fleet.grow(2, 0, timeout_seconds=10.0)
            async with asyncio.timeout(10.0):
                await fleet.wait_until_adopted(5, timeout_seconds=10.0)
        finally:
            await fleet.stop()
            await leader.listener.close()
    assert traffic.received_by_kind["FleetUpdate"] == 2
    assert traffic.bytes_sent > 0
    assert [1 in router.listener.leader_contact_at for router in fleet.routers] == [True, True]


async def test_counting_ends_with_its_context() -> None:
    before = Connection.data_received
    with count_traffic():
        assert Connection.data_received is not before
    assert Connection.data_received is before


def test_only_the_first_view_of_a_version_is_recorded() -> None:
    now = 1.0
    listener = SyntheticListener(lambda: now)
    for revision, version in ((1, 1), (2, 1), (3, 4)):
        now = float(revision)
        listener.view_adopted(
            FleetView(
                revision=revision, configuration_version=version, configuration=Configuration()
            )
        )
    assert listener.adopted_at(1) == 1.0
    assert listener.adopted_at(2) == 3.0
    assert listener.adopted_at(5) is None


def test_synthetic_workers_have_the_configured_prefill_share() -> None:
    size = SyntheticSize(routers=1, workers=1000)
    records = [worker_record(number, size) for number in range(size.workers)]
    assert sum(record.stage is Stage.PREFILL for record in records) == 290
    assert len({record.worker_id for record in records}) == 1000
