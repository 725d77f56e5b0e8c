"""Clients outside the limits: no process ends or hangs, and ordinary callers still get answers.

The crowds and the bounds are fixed; the bounds are those of a deployment's machine. Run these tests
one at a time, apart from other load (``make hostile``).
"""

import struct
from pathlib import Path

import pytest
from hostile_checks import check_crowd
from hostile_fleet import (
    CONTROL_PORT,
    CONTROL_WIRE_PORT,
    FRONT_PORT,
    MAX_BODY_BYTES,
    READY_PORT,
    ROUTER_WIRE_PORT,
    running_fleet,
)

from crowds import (
    Crowd,
    announced_too_large,
    body_by_pieces,
    body_in_chunks,
    bytes_after_request,
    many_headers,
    most_incomplete,
    raw,
    whole_body,
)

MEMBERS = 100
CONTROL_BODY_BYTES = 8_000_000
"""Size of a large body to a control process, just under its limit."""

FLOOD_BYTES = 16 * 1024 * 1024
"""What each member of a crowd sends that does not stop at any limit."""

MANY_MEMBERS = 1900
"""Members of a crowd just below the number of connections that half of the descriptors allow."""

TINY_HEADERS = 3000
"""Number of headers of a few bytes that fit into the largest head."""

SMALL_BODY_BYTES = 300_000
FEW_DESCRIPTORS = 512
WIRE_FRAME_BYTES = 8 * 1024 * 1024

CALL = ("POST", "/stock/x")
PROBE = ("POST", "/ready")
UPDATE = ("PUT", "/config")
CHANGE = ("PATCH", "/config")
ORDER = ("PUT", "/v1/configuration")
HEARTBEAT = ("PUT", "/instances/i-crowd")

FRONT_CROWDS = {
    "whole": whole_body(*CALL, MAX_BODY_BYTES, missing=1),
    "by_pieces": body_by_pieces(*CALL, MAX_BODY_BYTES, missing=1),
    "in_large_chunks": body_in_chunks(*CALL, MAX_BODY_BYTES, chunk_bytes=65_536),
    "in_chunks_of_one_byte": body_in_chunks(*CALL, MAX_BODY_BYTES, chunk_bytes=1),
    "announced_too_large": announced_too_large(*CALL, FLOOD_BYTES),
    "sent_too_large": body_in_chunks(*CALL, FLOOD_BYTES, chunk_bytes=65_536),
    "most_incomplete": most_incomplete(
        whole_body(*CALL, MAX_BODY_BYTES, missing=1), whole_body(*CALL, MAX_BODY_BYTES, missing=0)
    ),
}
MANY_CALLERS = {
    "many_headers": many_headers(*CALL, TINY_HEADERS),
    "small_bodies_by_pieces": body_by_pieces(*CALL, SMALL_BODY_BYTES, missing=1),
}
READY_CROWDS = {
    "whole": whole_body(*PROBE, MAX_BODY_BYTES, missing=1),
    "by_pieces": body_by_pieces(*PROBE, MAX_BODY_BYTES, missing=1),
    "in_large_chunks": body_in_chunks(*PROBE, MAX_BODY_BYTES, chunk_bytes=65_536),
    "in_chunks_of_one_byte": body_in_chunks(*PROBE, MAX_BODY_BYTES, chunk_bytes=1),
    "announced_too_large": announced_too_large(*PROBE, FLOOD_BYTES),
    "sent_too_large": body_in_chunks(*PROBE, FLOOD_BYTES, chunk_bytes=65_536),
}
CONTROL_CROWDS = {
    "update_whole": whole_body(*UPDATE, CONTROL_BODY_BYTES, missing=1),
    "update_by_pieces": body_by_pieces(*UPDATE, CONTROL_BODY_BYTES, missing=1),
    "update_in_large_chunks": body_in_chunks(*UPDATE, CONTROL_BODY_BYTES, chunk_bytes=65_536),
    "update_in_chunks_of_one_byte": body_in_chunks(*UPDATE, CONTROL_BODY_BYTES, chunk_bytes=1),
    "update_complete": whole_body(*UPDATE, CONTROL_BODY_BYTES, missing=0),
    "update_announced_too_large": announced_too_large(*UPDATE, FLOOD_BYTES),
    "update_sent_too_large": body_in_chunks(*UPDATE, FLOOD_BYTES, chunk_bytes=65_536),
    "change_whole": whole_body(*CHANGE, CONTROL_BODY_BYTES, missing=1),
    "order_whole": whole_body(*ORDER, CONTROL_BODY_BYTES, missing=1),
    "heartbeat_whole": whole_body(*HEARTBEAT, CONTROL_BODY_BYTES, missing=1),
    "heartbeat_in_large_chunks": body_in_chunks(*HEARTBEAT, CONTROL_BODY_BYTES, chunk_bytes=65_536),
    "announcement_whole": whole_body("POST", "/v1/workers/announce", CONTROL_BODY_BYTES, missing=1),
    "read_in_chunks_of_one_byte": body_in_chunks(
        "GET", "/config", CONTROL_BODY_BYTES, chunk_bytes=1
    ),
}


@pytest.mark.parametrize("crowd", FRONT_CROWDS)
async def test_a_crowd_of_callers(tmp_path: Path, crowd: str) -> None:
    """Guards against a router that runs out of memory or hangs over incomplete bodies."""
    async with running_fleet(tmp_path) as fleet:
        await check_crowd(fleet, FRONT_PORT, FRONT_CROWDS[crowd], MEMBERS)


@pytest.mark.parametrize("crowd", MANY_CALLERS)
async def test_a_crowd_of_many_callers(tmp_path: Path, crowd: str) -> None:
    """Guards against a router that runs out of memory over what little each of many has sent."""
    async with running_fleet(tmp_path) as fleet:
        await check_crowd(fleet, FRONT_PORT, MANY_CALLERS[crowd], MANY_MEMBERS)


async def test_a_crowd_of_callers_with_complete_bodies(tmp_path: Path) -> None:
    """Guards against a router that runs out of memory over large requests in progress."""
    async with running_fleet(tmp_path) as fleet:
        fleet.worker.may_answer.clear()
        crowd = Crowd(fleet.host, FRONT_PORT, MEMBERS, whole_body(*CALL, MAX_BODY_BYTES, missing=0))
        try:
            await crowd.send()
            fleet.assert_unharmed()
            fleet.worker.may_answer.set()
            await fleet.request_until_served()
        finally:
            await crowd.leave()
        fleet.assert_unharmed()


async def test_a_crowd_of_callers_that_sends_on_while_it_is_served(tmp_path: Path) -> None:
    """Guards against a router that runs out of memory over bytes after a request."""
    async with running_fleet(tmp_path) as fleet:
        fleet.worker.may_answer.clear()
        crowd = Crowd(fleet.host, FRONT_PORT, MEMBERS, bytes_after_request(*CALL, FLOOD_BYTES))
        try:
            await crowd.send()
            fleet.assert_unharmed()
            fleet.worker.may_answer.set()
            await fleet.request_until_served()
        finally:
            await crowd.leave()
        fleet.assert_unharmed()


@pytest.mark.parametrize("crowd", READY_CROWDS)
async def test_a_crowd_at_the_port_of_probes(tmp_path: Path, crowd: str) -> None:
    """Guards against a router that runs out of memory or hangs over bodies of probes."""
    async with running_fleet(tmp_path) as fleet:
        await check_crowd(fleet, READY_PORT, READY_CROWDS[crowd], MEMBERS)


@pytest.mark.parametrize("crowd", CONTROL_CROWDS)
async def test_a_crowd_of_operators(tmp_path: Path, crowd: str) -> None:
    """Guards against a control process that runs out of memory or hangs over bodies."""
    async with running_fleet(tmp_path) as fleet:
        await check_crowd(fleet, CONTROL_PORT, CONTROL_CROWDS[crowd], MEMBERS)


@pytest.mark.parametrize("port", [ROUTER_WIRE_PORT, CONTROL_WIRE_PORT])
async def test_a_crowd_at_the_port_of_the_fleet(tmp_path: Path, port: int) -> None:
    """Guards against a process that runs out of memory over frames before any Hello."""
    frame = struct.pack(">II", WIRE_FRAME_BYTES, 0) + bytes(WIRE_FRAME_BYTES - 1)
    async with running_fleet(tmp_path) as fleet:
        await check_crowd(fleet, port, raw(frame), MEMBERS)


@pytest.mark.parametrize("port", [FRONT_PORT, READY_PORT, CONTROL_PORT])
async def test_more_connections_than_descriptors(tmp_path: Path, port: int) -> None:
    """Guards against a process that accepts no caller any more once its descriptors are used."""
    async with running_fleet(tmp_path, FEW_DESCRIPTORS) as fleet:
        await check_crowd(fleet, port, raw(b""), FEW_DESCRIPTORS + MEMBERS)
