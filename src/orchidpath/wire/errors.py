"""Errors of connections; errors of frames are defined in :mod:`orchidpath.wire.framing`."""

from orchidpath.common.errors import OrchidpathError


class ConnectionClosedError(OrchidpathError):
    """The connection was closed by the other end or by this one."""


class ConnectError(OrchidpathError):
    """No connection could be established within the timeout."""


class HelloError(OrchidpathError):
    """The first message was not a Hello, or no Hello was received within the timeout."""


class FleetMismatchError(HelloError):
    """The other end belongs to another fleet."""


class SlowPeerError(OrchidpathError):
    """The other end reads too slowly: the unsent bytes would exceed their bound."""
