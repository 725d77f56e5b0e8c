"""Checks of settings beyond their types: addresses, seeds, ranges."""

import math
import re
from collections.abc import Iterator

import msgspec

from orchidpath.common.addresses import AddressError, parse_address
from orchidpath.common.logs import LOG_LEVELS
from orchidpath.common.problems import Problem
from orchidpath.common.settings import SEED_COUNT, ControlSettings, RouterSettings

MAX_TARGET_VOTERS = 7
"""Largest number of voters: more voters slow down every commit and add little fault tolerance."""

MAX_SECONDS = 86_400.0
"""Longest duration that a setting may have: one day."""

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_UNSPECIFIED_HOSTS = ("0.0.0.0", "::")


def check_router_settings(settings: RouterSettings) -> list[Problem]:
    """Return every problem of router settings that already have the right types."""
    return list(_check_router(settings))


def check_control_settings(settings: ControlSettings) -> list[Problem]:
    """Return every problem of control settings that already have the right types."""
    return list(_check_control(settings))


def check_name(path: str, name: str) -> Iterator[Problem]:
    """Yield a problem unless ``name`` is a valid name of a node, fleet, zone or worker."""
    if not _NAME_PATTERN.fullmatch(name):
        expected = "expected 1 to 63 letters, digits, dots, dashes or underscores"
        yield Problem(path=path, message=f"{expected}, got {name!r}")


def check_seconds(path: str, seconds: float) -> Iterator[Problem]:
    """Yield a problem unless a duration is above zero and at most one day."""
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_SECONDS:
        expected = f"expected seconds above 0 and up to {MAX_SECONDS:.0f}"
        yield Problem(path=path, message=f"{expected}, got {seconds}")


def check_address(path: str, address: str) -> Iterator[Problem]:
    """Yield the problems of an address that other processes must be able to reach."""
    try:
        host, port = parse_address(address)
    except AddressError as error:
        yield Problem(path=path, message=f"expected IP:port with an IP number; {error}")
        return
    if port == 0:
        yield Problem(path=path, message="expected a port from 1 to 65535, got 0")
    if host in _UNSPECIFIED_HOSTS:
        message = f"expected an IP number that others can reach, got {host}"
        yield Problem(path=path, message=message)


def _check_router(settings: RouterSettings) -> Iterator[Problem]:
    yield from _check_common(settings)
    yield from check_seconds("decision_timeout_seconds", settings.decision_timeout_seconds)
    if settings.forward_address:
        yield from check_address("forward_address", settings.forward_address)
    if "\0" in settings.decision_log:
        yield Problem(path="decision_log", message="expected a file path without null characters")


def _check_control(settings: ControlSettings) -> Iterator[Problem]:
    yield from _check_common(settings)
    yield from check_seconds("replace_voter_after_seconds", settings.replace_voter_after_seconds)
    yield from check_seconds("worker_lease_seconds", settings.worker_lease_seconds)
    yield from check_seconds("sync_delay_warning_seconds", settings.sync_delay_warning_seconds)
    if not settings.data_folder:
        yield Problem(
            path="data_folder", message="expected the path of a folder, got an empty text"
        )
    yield from _check_addresses("formation_members", settings.formation_members)
    if not 1 <= settings.target_voters <= MAX_TARGET_VOTERS:
        message = f"expected 1 to {MAX_TARGET_VOTERS}, got {settings.target_voters}"
        yield Problem(path="target_voters", message=message)


def _check_common(settings: RouterSettings | ControlSettings) -> Iterator[Problem]:
    yield from check_name("node_id", settings.node_id)
    yield from check_name("fleet", settings.fleet)
    if settings.zone:
        yield from check_name("zone", settings.zone)
    yield from check_address("wire_address", settings.wire_address)
    yield from check_address("http_address", settings.http_address)
    if settings.wire_address == settings.http_address:
        message = f"expected an address other than wire_address, got {settings.http_address}"
        yield Problem(path="http_address", message=message)
    if len(settings.seeds) != SEED_COUNT:
        message = f"expected {SEED_COUNT} addresses, got {len(settings.seeds)}"
        yield Problem(path="seeds", message=message)
    yield from _check_addresses("seeds", settings.seeds)
    if settings.log_level not in LOG_LEVELS:
        message = f"expected one of {', '.join(LOG_LEVELS)}, got {settings.log_level!r}"
        yield Problem(path="log_level", message=message)
    yield from check_seconds("drain_seconds", settings.drain_seconds)
    if "\0" in settings.fault_file:
        yield Problem(path="fault_file", message="expected a file path without null characters")


def _check_addresses(path: str, addresses: list[str]) -> Iterator[Problem]:
    for index, address in enumerate(addresses):
        yield from check_address(f"{path}[{index}]", address)
        if address in addresses[:index]:
            yield Problem(path=f"{path}[{index}]", message=f"{address!r} is listed twice")


def check_settings(settings: msgspec.Struct) -> list[Problem]:
    """Return every problem of router or control settings; an empty list for any other struct."""
    if isinstance(settings, RouterSettings):
        return check_router_settings(settings)
    if isinstance(settings, ControlSettings):
        return check_control_settings(settings)
    return []
