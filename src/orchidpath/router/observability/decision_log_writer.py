"""Writes the decision log from a separate thread, so that no request ever waits for the disk.

Lines wait in a bounded queue. While the queue is full or writing fails, lines are dropped and
counted, and a later line in the log states how many are missing. The file is rotated by size, and
a few rotated files are retained; ``NAME.1`` is the newest of them.
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
"""Upper bound on the lines that wait to be written."""

MAX_FILE_BYTES = 64 * 1024 * 1024
"""Size at which the file is rotated."""

RETAINED_FILES = 4
"""Number of rotated files that are retained beside the current file."""

REOPEN_SECONDS = 1.0
"""Delay after an error before the file is opened again."""

IDLE_SECONDS = 0.2
"""Interval at which an idle writer thread checks whether it has to stop."""

STOP_SECONDS = 1.0
"""Upper bound on the time that a stop waits for queued lines to be written."""


class DecisionLogWriter:
    """Appends lines to a rotated file from a separate thread.

    Parameters
    ----------
    path
        Path of the current file; its folder must exist.
    max_file_bytes
        Size, in bytes, at which the file is rotated.
    retained_files
        Number of rotated files that are retained.
    max_waiting_lines
        Upper bound on the lines that wait to be written.
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
        self._queue: queue.Queue[LogLine] = queue.Queue(max_waiting_lines)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._dropped = 0
        self._unreported_drops = 0
        self._policy: PolicyLine | None = None
        self._file: FileIO | None = None
        self._size_bytes = 0
        self._reopen_at = 0.0
        self._logger = get_logger("decision_log")
        # A daemon thread, because a disk that hangs must not keep the process from exiting.
        self._thread = threading.Thread(target=self._run, name="decision_log", daemon=True)

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped since the start."""
        return self._dropped

    def start(self) -> None:
        """Start the thread that writes the queued lines."""
        self._thread.start()

    def write(self, line: LogLine) -> None:
        """Queue a line, or drop it if the queue is full; never waits."""
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self._drop()

    def stop(self, timeout_seconds: float = STOP_SECONDS) -> None:
        """Stop the thread once it has written the queued lines; wait for a bounded time."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(timeout_seconds)

    def _drop(self) -> None:
        with self._lock:
            self._dropped += 1
            self._unreported_drops += 1

    def _run(self) -> None:
        while True:
            try:
                line = self._queue.get(timeout=IDLE_SECONDS)
            except queue.Empty:
                if self._stopping.is_set():
                    break
                continue
            self._append(line)
            if self._stopping.is_set() and self._queue.empty():
                break
        self._close()

    def _append(self, line: LogLine) -> None:
        try:
            if not self._ensure_open():
                self._drop()
                return
            if self._size_bytes >= self._max_file_bytes:
                self._rotate()
            self._write_drop_count()
            self._write_line(line)
        except OSError as error:
            self._drop()
            self._logger.warning("decision_log_refused", error=str(error))
            self._close()
            self._reopen_at = time.monotonic() + REOPEN_SECONDS
        finally:
            if isinstance(line, PolicyLine):
                # Stored even if the line was dropped: the next file that is opened begins with it.
                self._policy = line

    def _ensure_open(self) -> bool:
        if self._file is not None:
            return True
        if time.monotonic() < self._reopen_at:
            return False
        self._open()
        return True

    def _open(self) -> None:
        # Unbuffered, so that a failed write is reported for the line that it loses.
        self._file = FileIO(self._path, "ab")
        self._size_bytes = self._path.stat().st_size
        if self._size_bytes > 0:
            # A process that was killed may have left an incomplete last line.
            self._write_bytes(b"\n")
        if self._policy is not None:
            # Each file begins with the policy, so that it can be replayed without the others.
            self._write_line(self._policy)

    def _write_drop_count(self) -> None:
        unreported_drops = self._unreported_drops
        if unreported_drops:
            self._write_line(DroppedLine(count=unreported_drops))
            with self._lock:
                self._unreported_drops -= unreported_drops

    def _write_line(self, line: LogLine) -> None:
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
