"""Processor time and resident memory of a process, read from ``/proc`` by process id."""

import os
import time
from pathlib import Path

import msgspec

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
_RESIDENT_PAGES_FIELD = 1


class ProcessUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Processor time that a process has used, and its resident memory, at one time."""

    at_seconds: float
    cpu_seconds: float
    resident_bytes: int

    def cpu_share_since(self, earlier: "ProcessUsage") -> float:
        """Return the processor seconds spent per second since an earlier reading."""
        return (self.cpu_seconds - earlier.cpu_seconds) / (self.at_seconds - earlier.at_seconds)


def parse_cpu_seconds(stat: str, ticks_per_second: float) -> float:
    """Return the sum of user and system time in the text of ``/proc/PID/stat``.

    The name of the process is in parentheses and may contain any character, spaces and
    parentheses included.
    """
    fields = stat.rpartition(")")[2].split()
    return (int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])) / ticks_per_second


def read_usage(process_id: int) -> ProcessUsage:
    """Read the current usage of a process.

    Raises
    ------
    OSError
        There is no such process.
    """
    folder = Path("/proc") / str(process_id)
    pages = int((folder / "statm").read_text().split()[_RESIDENT_PAGES_FIELD])
    return ProcessUsage(
        at_seconds=time.monotonic(),
        cpu_seconds=parse_cpu_seconds((folder / "stat").read_text(), _TICKS_PER_SECOND),
        resident_bytes=pages * _PAGE_BYTES,
    )
