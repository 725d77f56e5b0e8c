"""Validation of the HTTP addresses that several commands accept as options."""

from urllib.parse import urlsplit

import click

from orchidpath.emulators.backend.http_exchange import base_url


def read_addresses(
    context: click.Context, parameter: click.Parameter, addresses: tuple[str, ...]
) -> tuple[str, ...]:
    """Check HTTP addresses and return them as base URLs.

    Raises
    ------
    click.BadParameter
        An address is not an ``http`` URL with a host and a port.
    """
    for address in addresses:
        try:
            parts = urlsplit(base_url(address))
            is_usable = parts.scheme == "http" and bool(parts.hostname) and parts.port is not None
        except ValueError:
            is_usable = False
        if not is_usable:
            raise click.BadParameter(f"{address!r} is not an http address with a port")
    return tuple(base_url(address) for address in addresses)
