"""How a control process with an empty data folder finds, or forms, its fleet.

A new fleet is formed only by the first of ``formation_members`` that has a disk, and only if every
other one of them answers that it belongs to none. So a machine that lost its disk never forms a
second fleet beside its own: the others, which belong to the first, say so
(docs/design/control-state.md).
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
"""Bound on asking one process who the control members are."""


class NoAnswerError(OrchidpathError):
    """A process did not say who the control members are in time."""


async def query_control_members(
    address: str, hello: Hello, faults: LinkFaults | None = None
) -> ControlMembers:
    """Ask one process who the control members are.

    Raises
    ------
    NoAnswerError
        It is not there, or does not answer in time.
    """
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[ControlMembers] = loop.create_future()

    def on_message(_connection: Connection, message: Message) -> None:
        if isinstance(message, ControlMembers) and not answer.done():
            answer.set_result(message)

    # As a tool, so that the asked process does not take this for its lasting connection.
    asking = msgspec.structs.replace(hello, role=ProcessRole.TOOL)
    try:
        connection = await connect(
            address, asking, on_message, ANSWER_TIMEOUT_SECONDS, faults=faults
        )
    except OrchidpathError as error:
        raise NoAnswerError(f"{address}: {error}") from error
    try:
        connection.send(WhoIsControl())
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            return await answer
    except TimeoutError as error:
        raise NoAnswerError(f"{address} did not answer in time") from error
    finally:
        connection.close()


async def may_form_fleet(
    own_address: str,
    formation_members: Sequence[str],
    hello: Hello,
    faults: LinkFaults | None = None,
) -> bool:
    """Whether this process, whose folder is empty, is to form a new fleet now.

    Parameters
    ----------
    own_address
        This process's wire address.
    formation_members
        Wire addresses of the control processes of a new fleet, in the order of the settings.
    hello
        What this process says of itself.
    faults
        Injected faults, for tests.
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
