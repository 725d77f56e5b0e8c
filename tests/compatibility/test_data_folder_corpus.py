"""Tests that the same state is restored from a data folder written before the first rename."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
from binary_corpus import FOLDER
from data_folder_history import (
    EXPECTED_STATE,
    IDENTITY,
    TICK_SECONDS,
    TORN_BYTES,
    open_copy,
    orders,
    repeated_outcomes,
    start_core,
    state_values,
)

from orchidpath.consensus.errors import DamagedLogError
from orchidpath.consensus.log_records import read_records
from orchidpath.consensus.storage import LOG_NAME, FileLogStorage
from orchidpath.control.replica.control_effects import UpdateAnswered
from orchidpath.control.replica.pending_updates import CONFIRM_WAIT_SECONDS
from orchidpath.wire.messages import UpdateStatus

DATA_FOLDER = FOLDER / "data_folder"
LATER_FOLDER = FOLDER / "data_folder_later"


@pytest.fixture
def storage(tmp_path: Path) -> Iterator[FileLogStorage]:
    opened = open_copy(DATA_FOLDER, tmp_path / "data")
    yield opened
    opened.close()


def test_the_log_holds_a_snapshot_entries_and_a_torn_tail(storage: FileLogStorage) -> None:
    content = (DATA_FOLDER / LOG_NAME).read_bytes()
    *_, last = read_records(content)
    assert last.end < len(content) - TORN_BYTES
    restored = storage.load()
    assert storage.identity == IDENTITY
    assert restored.snapshot is not None
    assert restored.entries


def test_a_control_core_reads_the_same_state(storage: FileLogStorage) -> None:
    core, _ = start_core(storage)
    expected = json.loads(EXPECTED_STATE.read_text())
    del expected["repeated_outcomes"]
    assert state_values(core.state) == expected


def test_repeated_orders_get_their_first_outcomes(storage: FileLogStorage) -> None:
    core, _ = start_core(storage)
    expected = json.loads(EXPECTED_STATE.read_text())
    assert repeated_outcomes(core.state) == expected["repeated_outcomes"]


def test_the_leader_answers_a_repeated_order_with_its_first_version(
    storage: FileLogStorage,
) -> None:
    core, now = start_core(storage)
    accepted, _, conflicting = orders()
    answers: dict[int, UpdateAnswered] = {}
    effects = [*core.submit(1, accepted, now), *core.submit(2, conflicting, now)]
    for step in range(round(2 * CONFIRM_WAIT_SECONDS / TICK_SECONDS)):
        effects.extend(core.tick(now + step * TICK_SECONDS))
    for effect in effects:
        if isinstance(effect, UpdateAnswered):
            answers[effect.key] = effect
    # The only router is also the only witness. It sends nothing, so no revision can be confirmed.
    assert (answers[1].version, answers[1].answer) == (1, UpdateStatus.ACCEPTED_NOT_CONFIRMED)
    assert (answers[2].version, answers[2].answer) == (2, UpdateStatus.CONFLICT)


def test_a_folder_of_a_later_version_is_refused(tmp_path: Path) -> None:
    storage = open_copy(LATER_FOLDER, tmp_path / "data")
    with pytest.raises(DamagedLogError, match="unknown format 2"):
        storage.load()
    storage.close()
