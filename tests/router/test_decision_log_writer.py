"""Writer thread of the decision log, on real files.

A FIFO without a reader emulates a disk that hangs.
"""

import os
import time
from pathlib import Path

from orchidpath.router.observability.decision_log_writer import DecisionLogWriter
from orchidpath.routing.decision_log import DroppedLine, LogLine, PolicyLine, decode_line
from orchidpath.wire.configuration import CircuitPolicy

STOP_SECONDS = 60.0
"""Upper bound on the duration of a stop; far longer than any write in these tests takes."""

POLICY = PolicyLine(
    time="",
    at_seconds=0.0,
    router_id="r",
    incarnation="a",
    configuration_version=1,
    circuit=CircuitPolicy(),
    load_bound_factor=1.25,
)


def read_lines(path: Path) -> list[LogLine]:
    return [decode_line(line) for line in path.read_bytes().splitlines() if line.strip()]


def write_lines(path: Path, lines: list[LogLine], **options: int) -> DecisionLogWriter:
    writer = DecisionLogWriter(path, **options)
    writer.start()
    for line in lines:
        writer.write(line)
    writer.stop(STOP_SECONDS)
    return writer


def test_lines_are_appended_in_order(tmp_path: Path) -> None:
    path = tmp_path / "log"
    writer = write_lines(path, [POLICY, DroppedLine(count=1), DroppedLine(count=2)])
    assert [type(line) for line in read_lines(path)] == [PolicyLine, DroppedLine, DroppedLine]
    assert writer.dropped == 0


def test_an_incomplete_last_line_does_not_corrupt_the_next_one(tmp_path: Path) -> None:
    path = tmp_path / "log"
    path.write_bytes(b'{"type":"drop')
    write_lines(path, [DroppedLine(count=3)])
    assert path.read_bytes().splitlines()[0] == b'{"type":"drop'
    assert decode_line(path.read_bytes().splitlines()[1]) == DroppedLine(count=3)


def test_rotation_retains_few_files_and_each_begins_with_the_policy(tmp_path: Path) -> None:
    path = tmp_path / "log"
    lines: list[LogLine] = [POLICY, *(DroppedLine(count=number) for number in range(1, 400))]
    writer = write_lines(path, lines, max_file_bytes=1000, retained_files=2)
    assert writer.dropped == 0
    assert sorted(file.name for file in tmp_path.iterdir()) == ["log", "log.1", "log.2"]
    for name in ("log", "log.1", "log.2"):
        assert read_lines(tmp_path / name)[0] == POLICY
        assert (tmp_path / name).stat().st_size < 1500
    newest = [line.count for line in read_lines(path) if isinstance(line, DroppedLine)]
    before = [
        line.count for line in read_lines(tmp_path / "log.1") if isinstance(line, DroppedLine)
    ]
    assert [*before, *newest] == list(range(before[0], 400))


def test_lines_for_a_missing_folder_are_dropped_and_counted(tmp_path: Path) -> None:
    writer = write_lines(tmp_path / "missing" / "log", [POLICY, POLICY, POLICY])
    assert writer.dropped == 3


def test_a_stuck_disk_never_blocks_the_caller(tmp_path: Path) -> None:
    path = tmp_path / "log"
    os.mkfifo(path)
    writer = DecisionLogWriter(path, max_waiting_lines=10)
    writer.start()
    started_at = time.monotonic()
    for number in range(1000):
        writer.write(DroppedLine(count=number))
    # Far longer than 1000 drops take, and far shorter than a wait for the disk.
    assert time.monotonic() - started_at < 30.0
    # The thread blocks while it opens the file, and has taken at most one line from the queue.
    assert writer.dropped >= 1000 - 10 - 1
    # A reader unblocks the thread, so that it exits with the test.
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    writer.stop(STOP_SECONDS)
    os.close(reader)


def test_dropped_lines_are_counted_in_the_log(tmp_path: Path) -> None:
    path = tmp_path / "log"
    writer = DecisionLogWriter(path, max_waiting_lines=2)
    for number in range(10, 15):
        writer.write(DroppedLine(count=number))
    assert writer.dropped == 3
    writer.start()
    writer.stop(STOP_SECONDS)
    assert DroppedLine(count=3) in read_lines(path)
