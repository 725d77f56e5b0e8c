"""Crowds of clients outside the limits, as events of a soak; a seed determines all of one."""

import asyncio
import struct
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from soak_processes import CONTROL_PORT, FRONT_PORT, READY_PORT, WIRE_PORT, Machine

from crowds import (
    Crowd,
    Sending,
    announced_too_large,
    body_by_pieces,
    body_in_chunks,
    many_headers,
    raw,
    registrations,
    request_without_body,
    whole_body,
)

MAX_MEMBERS = 40
BODY_BYTES = (1000, 65_536, 1024 * 1024)
"""Bounds of the sizes of bodies: the first range is legal for callers, the second one is not."""

MAX_CROWD_SECONDS = 5.0
FRAME_BYTES = 8 * 1024 * 1024
TINY_HEADERS = 1000

CALL = ("POST", "/p0/x")
PROBE = ("POST", "/ready")
UPDATE = ("PUT", "/config")
HEARTBEAT = ("PUT", "/instances/i-crowd")


class CrowdKind(NamedTuple):
    """What the members of a crowd do; ``sending`` takes the size of a body in bytes."""

    name: str
    port: int
    sending: Callable[[int], Sending]
    reads: bool = True


def _bodies(name: str, port: int, method: str, path: str) -> list[CrowdKind]:
    """Return the kinds of crowds whose members send bodies of one kind of request."""
    return [
        CrowdKind(f"{name} whole", port, lambda size: whole_body(method, path, size, missing=1)),
        CrowdKind(
            f"{name} by pieces", port, lambda size: body_by_pieces(method, path, size, missing=1)
        ),
        CrowdKind(
            f"{name} in large chunks",
            port,
            lambda size: body_in_chunks(method, path, size, chunk_bytes=16_384),
        ),
        CrowdKind(
            f"{name} in chunks of one byte",
            port,
            lambda size: body_in_chunks(method, path, size // 10, chunk_bytes=1),
        ),
        CrowdKind(
            f"{name} announced too large",
            port,
            lambda size: announced_too_large(method, path, size),
        ),
    ]


KINDS = [
    *_bodies("calls", FRONT_PORT, *CALL),
    *_bodies("probes", READY_PORT, *PROBE),
    *_bodies("updates", CONTROL_PORT, *UPDATE),
    *_bodies("heartbeats", CONTROL_PORT, *HEARTBEAT),
    CrowdKind("heads", FRONT_PORT, lambda _size: many_headers(*CALL, TINY_HEADERS)),
    CrowdKind("idle callers", FRONT_PORT, lambda _size: raw(b"")),
    CrowdKind("idle operators", CONTROL_PORT, lambda _size: raw(b"")),
    CrowdKind(
        "readers of nothing",
        CONTROL_PORT,
        lambda _size: request_without_body("GET", "/config"),
        reads=False,
    ),
    CrowdKind("registrations", CONTROL_PORT, lambda _size: registrations(5, 3, "m")),
    CrowdKind("frames to routers", WIRE_PORT, lambda size: raw(_frame(size))),
    CrowdKind("frames to control", WIRE_PORT + 1, lambda size: raw(_frame(size))),
]


class SoakCrowd:
    """One crowd at one machine.

    Parameters
    ----------
    random
        Determines its kind, its size and how long it stays.
    machine
        The machine whose programs it meets.
    """

    def __init__(self, random: Random, machine: Machine) -> None:
        kind = random.choice(KINDS)
        members = random.randint(1, MAX_MEMBERS)
        least, most = random.choice((BODY_BYTES[:2], BODY_BYTES[1:]))
        body_bytes = random.randint(least, most)
        self._stay_seconds = random.uniform(0.2, MAX_CROWD_SECONDS)
        self._crowd = Crowd(
            machine.host, kind.port, members, kind.sending(body_bytes), reads=kind.reads
        )
        self.description = f"{members} x {kind.name} of {body_bytes} bytes"

    async def run(self) -> None:
        """Let the crowd send, and hold its connections open until it leaves."""
        try:
            async with asyncio.timeout(self._stay_seconds):
                await self._crowd.send()
                await asyncio.Event().wait()
        except TimeoutError:
            pass
        finally:
            await self._crowd.leave()


def _frame(size: int) -> bytes:
    return struct.pack(">II", FRAME_BYTES, 0) + bytes(size)
