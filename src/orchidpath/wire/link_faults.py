"""Injected faults on the links between processes, for tests and the local fleet only.

A fault file (JSON, :class:`LinkFaultFile`) names links by the node names of both ends. Cuts apply
to messages on their way out and on their way in; delay and loss apply on the way out only, so that
they count once when both ends read the same file. No connection is made over a link that is cut in
either direction.
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
"""Stands for every node at one end of a link."""

RELOAD_PERIOD_SECONDS = 0.1
"""Time between two looks at the fault file."""


class LinkFaultFileError(OrchidpathError):
    """The fault file is not valid; the faults in force stay."""


class LinkFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A fault of the link from ``source`` to ``destination`` (node names or ``*``)."""

    source: str
    destination: str
    both_ways: bool = False
    cut: bool = False
    delay_seconds: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    loss: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0

    def applies(self, source: str, destination: str) -> bool:
        """Tell whether a message from ``source`` to ``destination`` meets this fault."""
        if _ends_match(self, source, destination):
            return True
        return self.both_ways and _ends_match(self, destination, source)


def _ends_match(fault: LinkFault, source: str, destination: str) -> bool:
    return _end_matches(fault.source, source) and _end_matches(fault.destination, destination)


def _end_matches(name: str, node_id: str) -> bool:
    # A control replica is called "name.identity"; a fault names the process, whatever its identity.
    return name in (ANY_NODE, node_id) or node_id.startswith(f"{name}.")


class LinkFaultFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All faults in force; an empty list heals every link."""

    seed: int = 0
    links: list[LinkFault] = []


class Fate(StrEnum):
    """What happens to one message."""

    DELIVERED = "delivered"
    DELAYED = "delayed"
    LOST = "lost"


class Verdict(msgspec.Struct, frozen=True):
    """The fate of one message, with its delay."""

    fate: Fate
    delay_seconds: float = 0.0


_DELIVERED = Verdict(Fate.DELIVERED)
_LOST = Verdict(Fate.LOST)


class LinkFaults:
    """The faults in force, asked once for each message; it does no input or output itself."""

    def __init__(self) -> None:
        self._faults: tuple[LinkFault, ...] = ()
        self._random = Random(0)

    def set_faults(self, faults: LinkFaultFile) -> None:
        """Replace every fault in force."""
        self._faults = tuple(faults.links)
        self._random = Random(faults.seed)

    def on_send(self, source: str, destination: str) -> Verdict:
        """Decide the fate of a message that is about to leave ``source``."""
        if not self._faults:
            return _DELIVERED
        delay_seconds = 0.0
        for fault in self._faults:
            if not fault.applies(source, destination):
                continue
            if fault.cut or self._random.random() < fault.loss:
                return _LOST
            delay_seconds += fault.delay_seconds
        return Verdict(Fate.DELAYED, delay_seconds) if delay_seconds else _DELIVERED

    def is_cut(self, source: str, destination: str) -> bool:
        """Tell whether a message that arrived at ``destination`` must be dropped."""
        return any(fault.cut and fault.applies(source, destination) for fault in self._faults)


class LinkFaultFileReader:
    """Reads a fault file into a :class:`LinkFaults` whenever its text has changed."""

    def __init__(self, path: Path, faults: LinkFaults) -> None:
        self._path = path
        self._faults = faults
        self._last_text: bytes | None = None

    def refresh(self) -> bool:
        """Read the file and put its faults in force; a missing file heals every link.

        Returns
        -------
        bool
            Whether the faults have changed.

        Raises
        ------
        LinkFaultFileError
            The file is not valid; the faults in force stay.
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
    """Refresh the faults each :data:`RELOAD_PERIOD_SECONDS` until cancelled.

    Parameters
    ----------
    reader
        Reader of the file that a process's ``fault_file`` setting names.
    on_error
        Called with each refusal of a file that is not valid.
    """
    while True:
        try:
            reader.refresh()
        except LinkFaultFileError as error:
            on_error(error)
        await asyncio.sleep(RELOAD_PERIOD_SECONDS)


def watch_fault_file(path: str, faults: LinkFaults) -> asyncio.Task[None]:
    """Start to keep ``faults`` current with a file; a file that is not valid is logged."""
    logger = get_logger("link_faults")
    reader = LinkFaultFileReader(Path(path), faults)

    def on_error(error: LinkFaultFileError) -> None:
        logger.error("fault_file_refused", error=str(error))

    return asyncio.create_task(keep_faults_current(reader, on_error))
