"""Limits of a machine of the deployments, and what a process has taken of its memory."""

from pathlib import Path

MACHINE_MEMORY_BYTES = 300_000_000
"""Memory of a machine of the deployments, which no process may exceed."""

MACHINE_DESCRIPTORS = 4100
"""Descriptors of a machine of the deployments, which no process may exceed."""


def peak_memory_bytes(process_id: int) -> int:
    """Return the most memory that a process has had resident; 0 if it is gone."""
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return 0
    peaks = [line for line in lines if line.startswith("VmHWM:")]
    return int(peaks[0].split()[1]) * 1024 if peaks else 0
