"""Addresses of processes: an IP address and a port; host names are rejected."""

from ipaddress import ip_address
from typing import NamedTuple

from orchidpath.common.digits import number_of_digits
from orchidpath.common.errors import OrchidpathError

MAX_PORT = 65535
"""Largest TCP port."""


class AddressError(OrchidpathError):
    """A text is not an address of the form ``IP:port``."""


class HostPort(NamedTuple):
    """An IP address, without brackets, and a TCP port."""

    host: str
    port: int


def parse_address(address: str) -> HostPort:
    """Return the host and the port of an address ``IP:port`` (IPv6 in brackets).

    Raises
    ------
    AddressError
        The text has another form, the host is a host name, or the port is out of range.
    """
    host, separator, port_text = address.rpartition(":")
    if not separator:
        raise AddressError(f"{address!r} is not of the form IP:port")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ip_address(host)
    except ValueError as error:
        raise AddressError(f"{host!r} in {address!r} is not an IP number") from error
    port = number_of_digits(port_text)
    if port is None or port > MAX_PORT:
        raise AddressError(f"{port_text!r} in {address!r} is not a port up to {MAX_PORT}")
    return HostPort(host, port)


def format_address(host: str, port: int) -> str:
    """Return the address of an IP address and a port; the inverse of :func:`parse_address`."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
