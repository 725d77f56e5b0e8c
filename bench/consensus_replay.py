"""Measures the replay rate of a replica's log and the rate of synced appends of a disk.

Prints one JSON object. The figures are valid only for the disk that holds ``--folder``.
"""

import json
import tempfile
import time
from pathlib import Path

import click

from orchidpath.consensus.files import RealFiles
from orchidpath.consensus.storage import FileLogStorage
from orchidpath.consensus.types import EntryKind, LogEntry

WRITE_BATCH_ENTRIES = 100


def make_entries(first: int, count: int, payload: bytes) -> list[LogEntry]:
    """Return commands with consecutive indexes."""
    return [LogEntry(first + n, 1, EntryKind.COMMAND, payload) for n in range(count)]


def measure_replay(folder: str, entry_count: int, payload: bytes) -> dict[str, float]:
    """Write a log, read it back, and return its size, the replay time and both rates."""
    storage = FileLogStorage(folder, RealFiles())
    storage.load()
    started = time.perf_counter()
    for first in range(1, entry_count + 1, WRITE_BATCH_ENTRIES):
        count = min(WRITE_BATCH_ENTRIES, entry_count - first + 1)
        storage.persist_entries(None, make_entries(first, count, payload))
    write_seconds = time.perf_counter() - started
    storage.close()
    started = time.perf_counter()
    reader = FileLogStorage(folder, RealFiles())
    restored = reader.load()
    replay_seconds = time.perf_counter() - started
    reader.close()
    if len(restored.entries) != entry_count:
        raise RuntimeError(f"the replay returned {len(restored.entries)} of {entry_count} entries")
    return {
        "entries": entry_count,
        "log_bytes": (Path(folder) / "log").stat().st_size,
        "batched_write_entries_per_second": round(entry_count / write_seconds),
        "replay_seconds": round(replay_seconds, 4),
        "replay_entries_per_second": round(entry_count / replay_seconds),
    }


def measure_synced_appends(folder: str, seconds: float, payload: bytes) -> dict[str, float]:
    """Append single entries, each one synced to disk, and return their rate and latencies."""
    storage = FileLogStorage(folder, RealFiles())
    storage.load()
    delays: list[float] = []
    end = time.perf_counter() + seconds
    while time.perf_counter() < end:
        started = time.perf_counter()
        storage.persist_entries(None, make_entries(len(delays) + 1, 1, payload))
        delays.append(time.perf_counter() - started)
    storage.close()
    delays.sort()
    return {
        "synced_appends": len(delays),
        "synced_appends_per_second": round(len(delays) / sum(delays)),
        "synced_append_p50_seconds": round(delays[len(delays) // 2], 6),
        "synced_append_p99_seconds": round(delays[len(delays) * 99 // 100], 6),
    }


@click.command()
@click.option("--folder", default=None, help="Parent of the scratch folder; selects the disk.")
@click.option("--entries", default=50_000, help="Entries in the log that is read back.")
@click.option("--payload-bytes", default=200, help="Payload of each entry.")
@click.option("--seconds", default=3.0, help="Duration of the synced appends.")
def main(folder: str | None, entries: int, payload_bytes: int, seconds: float) -> None:
    """Run both measurements in a scratch folder."""
    payload = bytes(payload_bytes)
    with tempfile.TemporaryDirectory(dir=folder) as scratch:
        result = {
            "payload_bytes": payload_bytes,
            **measure_replay(f"{scratch}/replay", entries, payload),
            **measure_synced_appends(f"{scratch}/appends", seconds, payload),
        }
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
