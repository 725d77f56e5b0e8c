"""Clients outside the limits at the chat interface: no process ends or hangs, others are served.

The crowds and the bounds are fixed; the bounds are those of a deployment's machine. Run these tests
one at a time, apart from other load (``make hostile``).
"""

from pathlib import Path

import pytest
from chat_fleet import CHAT_PATH, running_chat_fleet

from crowds import (
    Crowd,
    announced_too_large,
    body_by_pieces,
    body_in_chunks,
    many_headers,
    most_incomplete,
    raw,
    whole_body,
)

MEMBERS = 100
IDLE_MEMBERS = 1500
"""Idle connections, more than a router keeps for its chat interface."""

BODY_BYTES = 4 * 1024 * 1024
"""Size of a large body to the chat interface, within its limit."""

FLOOD_BYTES = 16 * 1024 * 1024
"""What each member of a crowd sends that does not stop at any limit."""

CHAT = ("POST", CHAT_PATH)

CROWDS = {
    "whole": whole_body(*CHAT, BODY_BYTES, missing=1),
    "by_pieces": body_by_pieces(*CHAT, BODY_BYTES, missing=1),
    "in_large_chunks": body_in_chunks(*CHAT, BODY_BYTES, chunk_bytes=65_536),
    "in_chunks_of_one_byte": body_in_chunks(*CHAT, BODY_BYTES, chunk_bytes=1),
    "announced_too_large": announced_too_large(*CHAT, FLOOD_BYTES),
    "sent_too_large": body_in_chunks(*CHAT, FLOOD_BYTES, chunk_bytes=65_536),
    "most_incomplete": most_incomplete(
        whole_body(*CHAT, BODY_BYTES, missing=1), whole_body(*CHAT, BODY_BYTES, missing=0)
    ),
    "many_headers": many_headers(*CHAT, 1000),
}


@pytest.mark.parametrize("name", CROWDS)
async def test_a_crowd_at_the_chat_interface(tmp_path: Path, name: str) -> None:
    """Guards against a router that runs out of memory or hangs over bodies of chat requests."""
    async with running_chat_fleet(tmp_path) as fleet:
        crowd = Crowd(fleet.host, fleet.port, MEMBERS, CROWDS[name])
        try:
            await crowd.send()
            fleet.assert_unharmed()
            await fleet.request_until_served()
            fleet.assert_unharmed()
        finally:
            await crowd.leave()
        await fleet.request_until_served()
        fleet.assert_unharmed()


async def test_idle_connections_at_the_chat_interface(tmp_path: Path) -> None:
    """Guards against a router that accepts no caller any more beyond its bound on connections."""
    async with running_chat_fleet(tmp_path) as fleet:
        crowd = Crowd(fleet.host, fleet.port, IDLE_MEMBERS, raw(b""))
        try:
            await crowd.send()
            await fleet.request_until_served()
            fleet.assert_unharmed()
        finally:
            await crowd.leave()
        await fleet.request_until_served()
