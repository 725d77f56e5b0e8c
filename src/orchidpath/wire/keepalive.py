"""Socket options by which the kernel detects a peer machine that is unreachable."""

import asyncio
import socket
from contextlib import suppress

UNREACHABLE_PEER_SECONDS = 5
"""The kernel closes a connection whose peer machine acknowledged nothing for this long."""

_KEEPALIVE_PERIOD_SECONDS = 1


def set_keepalive(transport: asyncio.Transport) -> None:
    """Send without delay, probe an idle connection, and bound the wait for acknowledgements.

    A system that lacks one of the options keeps its defaults.
    """
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return
    timeout_milliseconds = UNREACHABLE_PEER_SECONDS * 1000
    with suppress(OSError):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_PERIOD_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PERIOD_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, UNREACHABLE_PEER_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_milliseconds)
