"""Errors of connections; those of frames are in :mod:`orchidpath.wire.framing`."""

from orchidpath.common.errors import OrchidpathError


class ConnectionClosedError(OrchidpathError):
    """The connection was closed by the other end or by this one."""


class ConnectError(OrchidpathError):
    """No usable connection could be made within the time allowed."""


class HelloError(OrchidpathError):
    """The first message was no Hello, or none came in time."""


class FleetMismatchError(HelloError):
    """The other end belongs to a fleet of another name."""


class SlowPeerError(OrchidpathError):
    """The other end does not read; more than the allowed bytes are waiting."""
