"""Replicated worker records: late announcements, incarnations, cordons."""

import msgspec
from state_builders import announced, effect, restored, worker

from orchidpath.state.commands import CordonWorker, WorkerChanged, WorkerRemoved
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import Effect
from orchidpath.state.workers import WorkerTable
from orchidpath.wire.records import WorkerStatus


def test_a_late_announcement_of_the_same_incarnation_changes_nothing() -> None:
    state = FleetState()
    assert effect(state, announced(5)) is Effect.CHANGED
    assert effect(state, announced(7, status=WorkerStatus.DRAINING)) is Effect.CHANGED
    assert effect(state, announced(6)) is Effect.STALE
    assert effect(state, announced(7)) is Effect.STALE
    assert state.workers()[0].status is WorkerStatus.DRAINING
    assert effect(state, announced(8)) is Effect.CHANGED


def test_an_unchanged_announcement_makes_no_revision_but_stores_the_sequence() -> None:
    state = FleetState()
    effect(state, announced(1))
    revision = state.revision
    assert effect(state, announced(9)) is Effect.UNCHANGED
    assert state.revision == revision
    assert effect(state, announced(8, status=WorkerStatus.DRAINING)) is Effect.STALE


def test_a_new_incarnation_replaces_the_old_one_whose_late_announcements_are_stale() -> None:
    state = FleetState()
    effect(state, announced(50, incarnation="old"))
    assert effect(state, announced(1, incarnation="new")) is Effect.CHANGED
    state = restored(state)
    assert effect(state, announced(49, incarnation="old")) is Effect.STALE
    assert effect(state, announced(50, incarnation="old")) is Effect.STALE
    assert [record.incarnation for record in state.workers()] == ["new"]


def test_a_removal_applies_to_its_incarnation_only() -> None:
    state = FleetState()
    effect(state, announced(1, incarnation="new"))
    assert effect(state, WorkerRemoved(worker_id="w1", incarnation="old")) is Effect.STALE
    assert len(state.workers()) == 1
    assert effect(state, WorkerRemoved(worker_id="w1", incarnation="new")) is Effect.CHANGED
    assert state.workers() == ()


def test_a_removed_worker_returns_only_with_a_newer_announcement() -> None:
    state = FleetState()
    effect(state, announced(3))
    effect(state, WorkerRemoved(worker_id="w1", incarnation="a", sequence=40))
    state = restored(state)
    assert effect(state, announced(40)) is Effect.STALE
    assert state.workers() == ()
    assert effect(state, announced(41)) is Effect.CHANGED
    assert len(state.workers()) == 1


def test_removed_incarnations_and_their_cordons_are_bounded() -> None:
    table = WorkerTable(dead_limit=2)
    for number in range(4):
        table.announce(worker(f"w{number}"), 1)
        table.cordon(f"w{number}", True)
        table.remove(f"w{number}", "a", 1)
    assert [ended.worker_id for ended in table.dead_incarnations()] == ["w2", "w3"]
    assert table.cordoned() == ["w2", "w3"]


def test_the_failure_domain_is_the_worker_itself_by_default() -> None:
    state = FleetState()
    effect(state, announced(1))
    assert state.workers()[0].failure_domain == "w1"


def test_an_announcement_with_status_gone_or_without_incarnation_is_invalid() -> None:
    state = FleetState()
    assert effect(state, announced(1, status=WorkerStatus.GONE)) is Effect.INVALID
    assert effect(state, announced(1, incarnation="")) is Effect.INVALID
    assert state.revision == 0


def test_a_cordon_remains_after_announcements_restarts_and_removal() -> None:
    state = FleetState()
    cordon = CordonWorker(worker_id="w1", cordoned=True)
    assert effect(state, cordon) is Effect.UNKNOWN
    effect(state, announced(1))
    assert effect(state, cordon) is Effect.CHANGED
    effect(state, announced(2, status=WorkerStatus.DRAINING))
    assert state.workers()[0].cordoned
    effect(state, announced(1, incarnation="b"))
    assert state.workers()[0].cordoned
    effect(state, WorkerRemoved(worker_id="w1", incarnation="b"))
    state = restored(state)
    effect(state, announced(1, incarnation="c"))
    assert state.workers()[0].cordoned
    assert effect(state, CordonWorker(worker_id="w1", cordoned=False)) is Effect.CHANGED
    assert not state.workers()[0].cordoned


def test_a_worker_cannot_cordon_itself() -> None:
    state = FleetState()
    record = msgspec.structs.replace(worker(), cordoned=True)
    effect(state, WorkerChanged(record=record, sequence=1))
    assert not state.workers()[0].cordoned
