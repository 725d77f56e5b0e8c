"""Processor time and resident memory of a process, read from the system by process id."""

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
    """What a process has used so far, at one moment."""

    at_seconds: float
    cpu_seconds: float
    resident_bytes: int

    def cpu_share_since(self, earlier: "ProcessUsage") -> float:
        """Return the processor seconds spent per second since an earlier reading."""
        return (self.cpu_seconds - earlier.cpu_seconds) / (self.at_seconds - earlier.at_seconds)


def parse_cpu_seconds(stat: str, ticks_per_second: float) -> float:
    """Return user and system time out of the text of ``/proc/PID/stat``.

    The name of the process stands in parentheses and may hold anything, spaces included.
    """
    fields = stat.rpartition(")")[2].split()
    return (int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])) / ticks_per_second


def read_usage(process_id: int) -> ProcessUsage:
    """Return what a process has used so far.

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
