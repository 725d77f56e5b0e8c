"""The complete fleet state: revisions, updates, order of log entries, snapshots, effects."""

import msgspec
import pytest
from state_builders import (
    announced,
    apply,
    configuration_update,
    effect,
    registered,
    restored,
    worker,
)

from orchidpath.circuit.transitions import CircuitTransition
from orchidpath.routing.freshness import apply_delta
from orchidpath.state.commands import (
    CircuitChanged,
    Command,
    CommandDecodeError,
    CordonWorker,
    LeaderStarted,
    RegisterControlMember,
    RemoveControlMember,
    RemoveRouter,
    RevisionConfirmed,
    SubmitConfiguration,
    WorkerChanged,
    WorkerRemoved,
    encode_command,
)
from orchidpath.state.fleet_state import ApplyOrderError, FleetState
from orchidpath.state.outcomes import Effect
from orchidpath.state.snapshot import SnapshotFormatError
from orchidpath.wire.records import CircuitStatus, ControlMember, WorkerStatus


def test_the_revision_increases_by_one_with_what_routers_must_apply_and_nothing_else() -> None:
    state = FleetState()
    member = ControlMember(node_id="c1", address="127.0.0.1:3")
    transition = CircuitTransition(
        worker_id="w1", expected_generation=0, status=CircuitStatus.COOLDOWN
    )
    steps: list[tuple[Command, int]] = [
        (configuration_update("o1", 0), 1),
        (configuration_update("o2", 0), 0),
        (announced(1), 1),
        (CordonWorker(worker_id="w1", cordoned=True), 1),
        (CordonWorker(worker_id="w1", cordoned=True), 0),
        (registered("r1"), 1),
        (registered("r1"), 0),
        (RemoveRouter(router_id="r2"), 0),
        (RemoveRouter(router_id="r1"), 1),
        (CircuitChanged(transition=transition), 0),
        (RegisterControlMember(member=member), 0),
        (LeaderStarted(term=3), 0),
        (RevisionConfirmed(revision=2), 0),
        (WorkerRemoved(worker_id="w1", incarnation="a"), 1),
    ]
    for command, expected_increase in steps:
        before = state.revision
        apply(state, command)
        assert state.revision - before == expected_increase, command


def test_update_since_lists_workers_when_only_workers_changed() -> None:
    state = FleetState()
    effect(state, announced(1))
    effect(state, WorkerChanged(record=worker("w2"), sequence=1))
    adopted = state.revision
    effect(state, announced(2, status=WorkerStatus.DRAINING))
    effect(state, WorkerRemoved(worker_id="w2", incarnation="a"))
    update = state.update_since(adopted)
    assert update.view is None
    assert (update.base_revision, update.revision) == (adopted, state.revision)
    assert [(record.worker_id, record.status) for record in update.workers] == [
        ("w1", WorkerStatus.DRAINING),
        ("w2", WorkerStatus.GONE),
    ]


@pytest.mark.parametrize(
    "command", [configuration_update("o9", 0), registered("r9"), RemoveRouter(router_id="r1")]
)
def test_update_since_lists_what_changed_and_results_in_the_full_view(command: Command) -> None:
    state = FleetState()
    apply(state, registered("r1"))
    effect(state, announced(1))
    adopted = state.view()
    apply(state, command)
    effect(state, announced(2, status=WorkerStatus.DRAINING))
    update = state.update_since(adopted.revision)
    assert update.view is None
    assert (update.configuration is not None) == isinstance(command, SubmitConfiguration)
    assert (update.witnesses is not None) == (not isinstance(command, SubmitConfiguration))
    assert apply_delta(adopted, update) == state.view()


def test_a_router_that_has_adopted_nothing_gets_the_full_view() -> None:
    state = FleetState()
    assert state.update_since(0).view == state.view()
    effect(state, announced(1))
    assert state.update_since(0).view == state.view()


def test_update_since_is_a_full_view_beyond_the_stored_changes_and_after_a_restore() -> None:
    state = FleetState()
    for number in range(1030):
        effect(state, announced(number + 1, incarnation=f"i{number}"))
    assert state.update_since(state.revision - 1024).view is None
    assert state.update_since(state.revision - 1025).view == state.view()
    restored_state = restored(state)
    assert restored_state.update_since(restored_state.revision - 1).view == state.view()
    empty_update = restored_state.update_since(restored_state.revision)
    assert (empty_update.view, empty_update.workers) == (None, ())


def test_the_view_is_built_once_per_revision() -> None:
    state = FleetState()
    effect(state, announced(1))
    view = state.view()
    apply(state, LeaderStarted(term=1))
    assert state.view() is view
    effect(state, announced(2, status=WorkerStatus.DRAINING))
    assert state.view() is not view


def test_control_members_term_and_confirmed_revision_report_their_effects() -> None:
    state = FleetState()
    member = ControlMember(node_id="c1", address="127.0.0.1:3")
    assert effect(state, RegisterControlMember(member=member)) is Effect.CHANGED
    assert effect(state, RegisterControlMember(member=member)) is Effect.UNCHANGED
    assert state.control_members() == (member,)
    assert effect(state, RemoveControlMember(node_id="c1")) is Effect.CHANGED
    assert effect(state, RemoveControlMember(node_id="c1")) is Effect.UNKNOWN
    assert effect(state, LeaderStarted(term=4)) is Effect.CHANGED
    assert effect(state, LeaderStarted(term=3)) is Effect.STALE
    assert state.leader_term == 4
    assert effect(state, RevisionConfirmed(revision=1)) is Effect.INVALID
    effect(state, announced(1))
    assert effect(state, RevisionConfirmed(revision=1)) is Effect.CHANGED
    assert effect(state, RevisionConfirmed(revision=0)) is Effect.STALE
    assert restored(state).confirmed_revision == 1


def test_an_entry_is_never_applied_twice() -> None:
    state = FleetState()
    state.apply(7, encode_command(LeaderStarted(term=1)))
    for index in (6, 7):
        with pytest.raises(ApplyOrderError):
            state.apply(index, encode_command(LeaderStarted(term=2)))
    assert state.leader_term == 1


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x81\xa4type\xa3new", b"\x93\x01\x02\x03"])
def test_an_unreadable_command_stops_the_replica_and_changes_nothing(payload: bytes) -> None:
    state = FleetState()
    before = state.snapshot()
    with pytest.raises(CommandDecodeError):
        state.apply(1, payload)
    assert state.snapshot() == before


@pytest.mark.parametrize("data", [b"", b"\xc1", msgspec.msgpack.encode({"format": 999})])
def test_an_unreadable_snapshot_is_rejected(data: bytes) -> None:
    with pytest.raises(SnapshotFormatError):
        FleetState.restore(data)
