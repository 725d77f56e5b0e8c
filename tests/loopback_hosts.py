"""Loopback addresses for the machines of a test, which no other test run uses at the time."""

import random
import socket
from collections.abc import Sequence

FIRST_STEM_NUMBER, LAST_STEM_NUMBER = 20, 250
"""Range of the second and third number of the addresses."""


def free_hosts(count: int, ports: Sequence[int]) -> list[str]:
    """Return addresses in one network, on each of which all ports are free.

    They don't depend on the seed of a test, so that several runs on one machine don't collide.
    """
    source = random.SystemRandom()
    while True:
        numbers = (source.randint(FIRST_STEM_NUMBER, LAST_STEM_NUMBER) for _ in range(2))
        stem = ".".join(str(number) for number in (127, *numbers))
        hosts = [f"{stem}.{number + 1}" for number in range(count)]
        if all(_is_free(host, port) for host in hosts for port in ports):
            return hosts


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
