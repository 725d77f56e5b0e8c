"""Chooses free loopback ports for processes that must keep their ports across a restart."""

import socket
from collections.abc import Callable
from pathlib import Path
from random import Random

from orchidpath.common.errors import OrchidpathError

LOOPBACK_HOST = "127.0.0.1"
"""The only address on which the local fleet listens."""

LOWEST_PORT = 10_000
"""Lower ports are left to well-known services."""

_EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_DEFAULT_FIRST_EPHEMERAL_PORT = 32_768


class NoFreePortsError(OrchidpathError):
    """The machine does not have enough free ports."""


def first_ephemeral_port() -> int:
    """Return the first port of the range that the system assigns to outgoing connections."""
    try:
        return int(_EPHEMERAL_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return _DEFAULT_FIRST_EPHEMERAL_PORT


def is_free(port: int) -> bool:
    """Return whether a loopback port can be bound now."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK_HOST, port))
        except OSError:
            return False
        return True


def choose_ports(
    count: int,
    random: Random,
    *,
    end: int | None = None,
    probe: Callable[[int], bool] = is_free,
) -> list[int]:
    """Return free ports below the ephemeral range.

    A port chosen by the system would be in the ephemeral range, where an outgoing connection could
    take it while its process is stopped.

    Parameters
    ----------
    count
        Number of ports.
    random
        Chooses the first port to try, so that two fleets on one machine rarely collide.
    end
        End of the range (exclusive); by default the first ephemeral port.
    probe
        Returns whether a port is free.

    Raises
    ------
    NoFreePortsError
        There are fewer than ``count`` free ports.
    """
    end = end or first_ephemeral_port()
    if end <= LOWEST_PORT:
        raise NoFreePortsError(f"no ports between {LOWEST_PORT} and the ephemeral range")
    start = random.randrange(LOWEST_PORT, end)
    ports: list[int] = []
    for port in (*range(start, end), *range(LOWEST_PORT, start)):
        if len(ports) == count:
            break
        if probe(port):
            ports.append(port)
    if len(ports) < count:
        raise NoFreePortsError(f"only {len(ports)} of {count} ports are free")
    return ports
