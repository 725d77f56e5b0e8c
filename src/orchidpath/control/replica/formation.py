"""Decides whether a control process with an empty data folder may form a new fleet.

Only the first process of ``formation_members`` that may vote (has a disk) forms a new fleet, and
only if every other one of them replies that it belongs to no fleet. A machine that has lost its
disk therefore never forms a second fleet beside its own, because the other processes reply with the
members of the existing fleet (docs/design/control-state.md).
"""

import asyncio
from collections.abc import Sequence

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.connection import Connection
from orchidpath.wire.connector import connect
from orchidpath.wire.link_faults import LinkFaults
from orchidpath.wire.messages import ControlMembers, Hello, Message, ProcessRole, WhoIsControl

ANSWER_TIMEOUT_SECONDS = 1.0
"""Time-out of a query for the control members, once to connect and once for the reply."""


class NoAnswerError(OrchidpathError):
    """A process could not be reached or did not report the control members in time."""


async def query_control_members(
    address: str, hello: Hello, faults: LinkFaults | None = None
) -> ControlMembers:
    """Query one process for the control members.

    Raises
    ------
    NoAnswerError
        The process cannot be reached or does not reply in time.
    """
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[ControlMembers] = loop.create_future()

    def on_message(_connection: Connection, message: Message) -> None:
        if isinstance(message, ControlMembers) and not answer.done():
            answer.set_result(message)

    # With the role of a tool, so that the queried process does not treat this short connection as
    # the permanent connection of this node.
    tool_hello = msgspec.structs.replace(hello, role=ProcessRole.TOOL)
    try:
        connection = await connect(
            address, tool_hello, on_message, ANSWER_TIMEOUT_SECONDS, faults=faults
        )
    except OrchidpathError as error:
        raise NoAnswerError(f"{address}: {error}") from error
    try:
        connection.send(WhoIsControl())
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            return await answer
    except TimeoutError as error:
        raise NoAnswerError(f"{address} did not report the control members in time") from error
    finally:
        connection.close()


async def may_form_fleet(
    own_address: str,
    formation_members: Sequence[str],
    hello: Hello,
    faults: LinkFaults | None = None,
) -> bool:
    """Return whether this process, whose data folder is empty, may form a new fleet now.

    Parameters
    ----------
    own_address
        This process's wire address.
    formation_members
        Wire addresses of the control processes of a new fleet, in the order of the settings.
    hello
        The handshake of this process.
    faults
        Injected link faults; for tests only.
    """
    if own_address not in formation_members:
        return False
    own_position = formation_members.index(own_address)
    for position, address in enumerate(formation_members):
        if position == own_position:
            continue
        try:
            answer = await query_control_members(address, hello, faults)
        except NoAnswerError:
            return False
        if answer.members or (position < own_position and answer.may_vote):
            return False
    return True
