"""The router's link to the fleet over real connections on loopback."""

import asyncio
import random

from orchidpath.router.fleet_link.control_link import ControlLink
from orchidpath.wire.connection import Connection
from orchidpath.wire.listener import Listener
from orchidpath.wire.messages import (
    ControlMembers,
    Hello,
    Message,
    ProcessRole,
    RouterHeartbeat,
)
from orchidpath.wire.records import ControlMember, RouterRecord

LOOPBACK = "127.0.0.1:0"


def hello(node_id: str, role: ProcessRole) -> Hello:
    return Hello(node_id=node_id, incarnation="one", role=role, address="", fleet="test")


async def test_a_newly_announced_leader_gets_a_heartbeat_at_once() -> None:
    """The router's clock does not advance, so no periodic heartbeat is due."""
    received: asyncio.Queue[Message] = asyncio.Queue()
    connected: asyncio.Queue[Connection] = asyncio.Queue()
    control = Listener(
        LOOPBACK,
        hello("c1", ProcessRole.CONTROL),
        on_connect=connected.put_nowait,
        on_message=lambda _, message: received.put_nowait(message),
    )
    await control.start()
    record = RouterRecord(router_id="r1", address=LOOPBACK, http_address="", zone="")
    link = ControlLink(
        record, hello("r1", ProcessRole.ROUTER), [control.address], lambda: 0.0, random.Random(1)
    )
    await link.start()
    try:
        connection = await connected.get()
        leader = ControlMember(node_id="c1", address=control.address)
        connection.send(ControlMembers(term=1, leader_id="c1", members=(leader,)))
        while not isinstance(await received.get(), RouterHeartbeat):
            pass
    finally:
        await link.stop()
        await control.close()
