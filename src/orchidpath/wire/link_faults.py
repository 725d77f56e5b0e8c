"""Injected faults on the links between processes, for tests and the local fleet only.

A fault file (JSON, :class:`LinkFaultFile`) names links by the node names of both ends. A partition
applies to sent and to received messages. Delay and loss apply to sent messages only, so that they
take effect once when both ends read the same file. No connection can be made over a link that is
partitioned in either direction.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from random import Random
from typing import Annotated

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.common.logs import get_logger

ANY_NODE = "*"
"""Wildcard for the node name of a link's end: matches every node."""

RELOAD_PERIOD_SECONDS = 0.1
"""Time between two reads of the fault file."""


class LinkFaultFileError(OrchidpathError):
    """The fault file can't be read or is not valid; the active faults remain in effect."""


class LinkFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A fault of the link from ``source`` to ``destination`` (node names or ``*``).

    With ``partitioned``, every message is dropped. ``loss`` is the probability that a message is
    dropped, and ``delay_seconds`` is added to the delivery time of each message. With
    ``both_ways``, the fault also applies to the opposite direction.
    """

    source: str
    destination: str
    both_ways: bool = False
    partitioned: bool = msgspec.field(default=False, name="cut")
    delay_seconds: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    loss: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0

    def applies(self, source: str, destination: str) -> bool:
        """Return whether this fault applies to a message from ``source`` to ``destination``."""
        if _ends_match(self, source, destination):
            return True
        return self.both_ways and _ends_match(self, destination, source)


def _ends_match(fault: LinkFault, source: str, destination: str) -> bool:
    return _end_matches(fault.source, source) and _end_matches(fault.destination, destination)


def _end_matches(name: str, node_id: str) -> bool:
    # The node id of a control replica is "name.identity"; a fault names the process, so that it
    # applies whatever the identity is.
    return name in (ANY_NODE, node_id) or node_id.startswith(f"{name}.")


class LinkFaultFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All active faults; an empty list removes every fault.

    ``seed`` is the seed of the random selection of lost messages.
    """

    seed: int = 0
    links: list[LinkFault] = []


class Fate(StrEnum):
    """Effect of the active faults on one message."""

    DELIVERED = "delivered"
    DELAYED = "delayed"
    LOST = "lost"


class Verdict(msgspec.Struct, frozen=True):
    """The fate of one message; ``delay_seconds`` is above 0 only if the message is delayed."""

    fate: Fate
    delay_seconds: float = 0.0


_DELIVERED = Verdict(Fate.DELIVERED)
_LOST = Verdict(Fate.LOST)


class LinkFaults:
    """The active faults, queried for each message; performs no I/O."""

    def __init__(self) -> None:
        self._faults: tuple[LinkFault, ...] = ()
        self._random = Random(0)

    def set_faults(self, faults: LinkFaultFile) -> None:
        """Replace every active fault."""
        self._faults = tuple(faults.links)
        self._random = Random(faults.seed)

    def on_send(self, source: str, destination: str) -> Verdict:
        """Return the fate of a message that ``source`` is about to send to ``destination``."""
        if not self._faults:
            return _DELIVERED
        delay_seconds = 0.0
        for fault in self._faults:
            if not fault.applies(source, destination):
                continue
            if fault.partitioned or self._random.random() < fault.loss:
                return _LOST
            delay_seconds += fault.delay_seconds
        return Verdict(Fate.DELAYED, delay_seconds) if delay_seconds else _DELIVERED

    def is_partitioned(self, source: str, destination: str) -> bool:
        """Return whether a message from ``source`` to ``destination`` must be dropped."""
        return any(
            fault.partitioned and fault.applies(source, destination) for fault in self._faults
        )

    def blocks_connection(self, local: str, remote: str) -> bool:
        """Return whether no connection can be made, because one direction is partitioned."""
        return self.is_partitioned(local, remote) or self.is_partitioned(remote, local)


class LinkFaultFileReader:
    """Loads a fault file into a :class:`LinkFaults` whenever the content of the file changes."""

    def __init__(self, path: Path, faults: LinkFaults) -> None:
        self._path = path
        self._faults = faults
        self._last_text: bytes | None = None

    def refresh(self) -> bool:
        """Read the file and activate its faults; if the file is missing, there are no faults.

        Returns
        -------
        bool
            Whether the faults have changed.

        Raises
        ------
        LinkFaultFileError
            The file can't be read or is not valid; the active faults remain in effect.
        """
        text = self._read()
        if text == self._last_text:
            return False
        self._last_text = text
        try:
            parsed = msgspec.json.decode(text, type=LinkFaultFile) if text else LinkFaultFile()
        except msgspec.DecodeError as error:
            raise LinkFaultFileError(f"{self._path}: {error}") from error
        self._faults.set_faults(parsed)
        return True

    def _read(self) -> bytes:
        try:
            return self._path.read_bytes()
        except FileNotFoundError:
            return b""
        except OSError as error:
            raise LinkFaultFileError(f"{self._path}: {error}") from error


async def keep_faults_current(
    reader: LinkFaultFileReader, on_error: Callable[[LinkFaultFileError], None]
) -> None:
    """Reload the fault file every :data:`RELOAD_PERIOD_SECONDS` until cancelled.

    Parameters
    ----------
    reader
        Reader of the file that a process's ``fault_file`` setting names.
    on_error
        Called with the error when the file can't be read or is not valid.
    """
    while True:
        try:
            reader.refresh()
        except LinkFaultFileError as error:
            on_error(error)
        await asyncio.sleep(RELOAD_PERIOD_SECONDS)


def watch_fault_file(path: str, faults: LinkFaults) -> asyncio.Task[None]:
    """Start a task that keeps ``faults`` current with a file; errors of the file are logged."""
    logger = get_logger("link_faults")
    reader = LinkFaultFileReader(Path(path), faults)

    def on_error(error: LinkFaultFileError) -> None:
        logger.error("fault_file_refused", error=str(error))

    return asyncio.create_task(keep_faults_current(reader, on_error))
