"""Writes the decision log on a thread of its own, so that no request ever waits for the disk.

Lines wait in a bounded queue; while it is full, or the disk refuses, they are dropped and counted,
and the log says how many are missing. The file is rotated by size and a few old ones are kept:
``NAME.1`` is the newest of them.
"""

import contextlib
import queue
import threading
import time
from io import FileIO
from pathlib import Path

from orchidpath.common.logs import get_logger
from orchidpath.routing.decision_log import DroppedLine, LogLine, PolicyLine, encode_line

MAX_WAITING_LINES = 16_384
"""Lines that wait for the disk at most."""

MAX_FILE_BYTES = 64 * 1024 * 1024
"""A file that has grown to this is rotated."""

RETAINED_FILES = 4
"""Rotated files that are kept beside the current one."""

REOPEN_SECONDS = 1.0
"""After an error the file is not opened again before this long."""

IDLE_SECONDS = 0.2
"""An idle writer looks this often whether it must stop."""

STOP_SECONDS = 1.0
"""A stop waits this long at most for the lines that still wait."""


class DecisionLogWriter:
    """Appends lines to a file from a thread.

    Parameters
    ----------
    path
        The current file; its folder must exist.
    max_file_bytes
        Size that rotates it.
    kept_files
        Rotated files that are kept.
    max_waiting_lines
        Lines that wait at most.
    """

    def __init__(
        self,
        path: Path,
        *,
        max_file_bytes: int = MAX_FILE_BYTES,
        retained_files: int = RETAINED_FILES,
        max_waiting_lines: int = MAX_WAITING_LINES,
    ) -> None:
        self._path = path
        self._max_file_bytes = max_file_bytes
        self._retained_files = retained_files
        self._waiting: queue.Queue[LogLine] = queue.Queue(max_waiting_lines)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._dropped = 0
        self._untold = 0
        self._policy: PolicyLine | None = None
        self._file: FileIO | None = None
        self._size_bytes = 0
        self._reopen_at = 0.0
        self._logger = get_logger("decision_log")
        # A daemon thread: a disk that never answers must not keep the process from ending.
        self._thread = threading.Thread(target=self._run, name="decision_log", daemon=True)

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the start."""
        return self._dropped

    def start(self) -> None:
        """Start to write."""
        self._thread.start()

    def write(self, line: LogLine) -> None:
        """Queue a line, or drop it; never waits."""
        try:
            self._waiting.put_nowait(line)
        except queue.Full:
            self._drop()

    def stop(self, timeout_seconds: float = STOP_SECONDS) -> None:
        """Write what still waits, for a bounded time."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(timeout_seconds)

    def _drop(self) -> None:
        with self._lock:
            self._dropped += 1
            self._untold += 1

    def _run(self) -> None:
        while True:
            try:
                line = self._waiting.get(timeout=IDLE_SECONDS)
            except queue.Empty:
                if self._stopping.is_set():
                    break
                continue
            self._append(line)
            if self._stopping.is_set() and self._waiting.empty():
                break
        self._close()

    def _append(self, line: LogLine) -> None:
        try:
            if not self._is_open():
                self._drop()
                return
            if self._size_bytes >= self._max_file_bytes:
                self._rotate()
            self._tell_dropped()
            self._put(line)
        except OSError as error:
            self._drop()
            self._logger.warning("decision_log_refused", error=str(error))
            self._close()
            self._reopen_at = time.monotonic() + REOPEN_SECONDS
        finally:
            if isinstance(line, PolicyLine):
                # Also one that was dropped: the next file to be opened begins with it.
                self._policy = line

    def _is_open(self) -> bool:
        if self._file is not None:
            return True
        if time.monotonic() < self._reopen_at:
            return False
        self._open()
        return True

    def _open(self) -> None:
        # Unbuffered, so that a line that the disk refuses is known to be lost.
        self._file = FileIO(self._path, "ab")
        self._size_bytes = self._path.stat().st_size
        if self._size_bytes > 0:
            # A process that was killed may have left half a line.
            self._write_bytes(b"\n")
        if self._policy is not None:
            # Each file can be replayed by itself.
            self._put(self._policy)

    def _tell_dropped(self) -> None:
        untold = self._untold
        if untold:
            self._put(DroppedLine(count=untold))
            with self._lock:
                self._untold -= untold

    def _put(self, line: LogLine) -> None:
        self._write_bytes(encode_line(line))

    def _write_bytes(self, content: bytes) -> None:
        assert self._file is not None
        rest = memoryview(content)
        while rest:
            written = self._file.write(rest)
            self._size_bytes += written
            rest = rest[written:]

    def _rotate(self) -> None:
        self._close()
        for number in range(self._retained_files, 0, -1):
            source = self._rotated(number - 1)
            if source.exists():
                source.replace(self._rotated(number))
        self._path.unlink(missing_ok=True)
        self._open()

    def _rotated(self, number: int) -> Path:
        return self._path.with_name(f"{self._path.name}.{number}") if number else self._path

    def _close(self) -> None:
        file, self._file = self._file, None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()
