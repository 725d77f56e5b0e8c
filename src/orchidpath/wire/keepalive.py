"""Socket options with which the kernel detects that a peer's machine is unreachable."""

import asyncio
import socket
from contextlib import suppress

UNREACHABLE_PEER_SECONDS = 5
"""The kernel closes a connection if the peer's machine acknowledges nothing for this long."""

_KEEPALIVE_PERIOD_SECONDS = 1


def set_keepalive(transport: asyncio.Transport) -> None:
    """Disable Nagle's algorithm, enable TCP keepalive, and bound the wait for acknowledgements.

    If the system rejects one of the options, this option and those after it keep their defaults.
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
