"""Rules of the replicated state: orders, workers, revisions, deltas, circuits."""

import msgspec
import pytest

from orchidpath.circuit.transitions import CapacityTransition, CircuitTransition
from orchidpath.routing.freshness import apply_delta
from orchidpath.state.commands import (
    CapacityChanged,
    CircuitChanged,
    Command,
    CommandDecodeError,
    CordonWorker,
    LeaderStarted,
    RegisterControlMember,
    RegisterRouter,
    RemoveControlMember,
    RemoveRouter,
    RevisionConfirmed,
    SubmitConfiguration,
    WorkerChanged,
    WorkerRemoved,
    configuration_digest,
    decode_command,
    encode_command,
)
from orchidpath.state.fleet_state import ApplyOrderError, FleetState
from orchidpath.state.outcomes import (
    CapacityResult,
    CircuitResult,
    Effect,
    Outcome,
    RecordResult,
    UpdateAccepted,
    UpdateConflict,
    UpdateIdReused,
    UpdateResult,
)
from orchidpath.state.snapshot import SnapshotFormatError
from orchidpath.state.update_outcomes import UpdateOutcomes
from orchidpath.state.workers import WorkerTable
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.records import (
    CircuitStatus,
    ControlMember,
    RouterRecord,
    Stage,
    WorkerRecord,
    WorkerStatus,
)


def apply(state: FleetState, command: Command) -> Outcome:
    return state.apply(state.applied_index + 1, encode_command(command)).outcome


def effect(state: FleetState, command: Command) -> Effect:
    outcome = apply(state, command)
    assert isinstance(outcome, RecordResult)
    return outcome.effect


def order(order_id: str, base_version: int, name: str = "cellar") -> SubmitConfiguration:
    configuration = Configuration(services=[Service(name=name, kind=ServiceKind.PLAIN)])
    return SubmitConfiguration(
        order_id=order_id,
        base_version=base_version,
        configuration=configuration,
        digest=configuration_digest(base_version, configuration),
    )


def worker(
    worker_id: str = "w1", incarnation: str = "a", status: WorkerStatus = WorkerStatus.READY
) -> WorkerRecord:
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service="cellar",
        stage=Stage.PLAIN,
        url="http://127.0.0.1:1",
        status=status,
    )


def changed(
    sequence: int, incarnation: str = "a", status: WorkerStatus = WorkerStatus.READY
) -> WorkerChanged:
    return WorkerChanged(record=worker(incarnation=incarnation, status=status), sequence=sequence)


def router(router_id: str, zone: str = "z1") -> RegisterRouter:
    record = RouterRecord(
        router_id=router_id, address="127.0.0.1:1", http_address="127.0.0.1:2", zone=zone
    )
    return RegisterRouter(record=record)


def restored(state: FleetState) -> FleetState:
    return FleetState.restore(state.snapshot())


def test_of_two_orders_racing_on_one_version_exactly_one_wins() -> None:
    state = FleetState()
    first = apply(state, order("o1", 0, "first"))
    second = apply(state, order("o2", 0, "second"))
    assert first == UpdateResult(outcome=UpdateAccepted(version=1))
    assert second == UpdateResult(outcome=UpdateConflict(current_version=1))
    assert [service.name for service in state.configuration.services] == ["first"]
    assert state.configuration_version == 1


def test_a_repeated_order_gets_its_first_outcome_also_after_a_snapshot() -> None:
    state = FleetState()
    apply(state, order("o1", 0))
    apply(state, order("o2", 0, "loser"))
    apply(state, order("o3", 1, "newer"))
    state = restored(state)
    revision = state.revision
    accepted = apply(state, order("o1", 0))
    refused = apply(state, order("o2", 0, "loser"))
    assert accepted == UpdateResult(outcome=UpdateAccepted(version=1), repeated=True)
    assert refused == UpdateResult(outcome=UpdateConflict(current_version=1), repeated=True)
    assert (state.configuration_version, state.revision) == (2, revision)
    assert state.configuration.services[0].name == "newer"


def test_a_reused_order_id_is_refused_and_the_first_outcome_stays() -> None:
    state = FleetState()
    apply(state, order("o1", 0))
    # The same id, built on the current version, so that only the digest speaks against it.
    reused = apply(state, order("o1", 1, "other"))
    assert reused == UpdateResult(outcome=UpdateIdReused(current_version=1))
    assert state.configuration.services[0].name == "cellar"
    record = state.find_update("o1")
    assert record is not None
    assert record.outcome == UpdateAccepted(version=1)


def test_the_digest_depends_on_content_and_base_and_not_on_form() -> None:
    explicit = msgspec.json.decode(b'{"routes": [], "services": []}', type=Configuration)
    assert configuration_digest(3, explicit) == configuration_digest(3, Configuration())
    assert configuration_digest(3, explicit) != configuration_digest(4, explicit)
    other = Configuration(services=[Service(name="x", kind=ServiceKind.PLAIN)])
    assert configuration_digest(3, explicit) != configuration_digest(3, other)


def test_the_order_memory_forgets_the_oldest_only() -> None:
    memory = UpdateOutcomes(limit=3)
    for number in range(5):
        memory.remember(f"o{number}", "d", UpdateAccepted(version=number))
    assert [record.order_id for record in memory.records()] == ["o2", "o3", "o4"]


def test_history_lists_the_versions_taken() -> None:
    state = FleetState()
    apply(state, order("o1", 0))
    apply(state, order("o2", 0))
    apply(state, order("o3", 1))
    assert [(entry.version, entry.order_id) for entry in state.history()] == [(1, "o1"), (2, "o3")]


def test_a_late_announcement_of_the_same_incarnation_changes_nothing() -> None:
    state = FleetState()
    assert effect(state, changed(5)) is Effect.CHANGED
    assert effect(state, changed(7, status=WorkerStatus.DRAINING)) is Effect.CHANGED
    assert effect(state, changed(6)) is Effect.STALE
    assert effect(state, changed(7)) is Effect.STALE
    assert state.workers()[0].status is WorkerStatus.DRAINING
    assert effect(state, changed(8)) is Effect.CHANGED


def test_an_announcement_with_nothing_new_makes_no_revision_but_keeps_the_sequence() -> None:
    state = FleetState()
    effect(state, changed(1))
    revision = state.revision
    assert effect(state, changed(9)) is Effect.UNCHANGED
    assert state.revision == revision
    assert effect(state, changed(8, status=WorkerStatus.DRAINING)) is Effect.STALE


def test_another_incarnation_replaces_and_the_old_ones_late_words_do_not_return() -> None:
    state = FleetState()
    effect(state, changed(50, incarnation="old"))
    assert effect(state, changed(1, incarnation="new")) is Effect.CHANGED
    state = restored(state)
    assert effect(state, changed(49, incarnation="old")) is Effect.STALE
    assert effect(state, changed(50, incarnation="old")) is Effect.STALE
    assert [record.incarnation for record in state.workers()] == ["new"]


def test_gone_is_for_that_incarnation_only() -> None:
    state = FleetState()
    effect(state, changed(1, incarnation="new"))
    assert effect(state, WorkerRemoved(worker_id="w1", incarnation="old")) is Effect.STALE
    assert len(state.workers()) == 1
    assert effect(state, WorkerRemoved(worker_id="w1", incarnation="new")) is Effect.CHANGED
    assert state.workers() == ()


def test_a_gone_worker_returns_only_with_an_announcement_newer_than_its_last() -> None:
    state = FleetState()
    effect(state, changed(3))
    effect(state, WorkerRemoved(worker_id="w1", incarnation="a", sequence=40))
    state = restored(state)
    assert effect(state, changed(40)) is Effect.STALE
    assert state.workers() == ()
    assert effect(state, changed(41)) is Effect.CHANGED
    assert len(state.workers()) == 1


def test_dead_incarnations_and_their_holds_are_bounded() -> None:
    table = WorkerTable(dead_limit=2)
    for number in range(4):
        table.announce(worker(f"w{number}"), 1)
        table.cordon(f"w{number}", True)
        table.remove(f"w{number}", "a", 1)
    assert [item.worker_id for item in table.dead()] == ["w2", "w3"]
    assert table.cordoned() == ["w2", "w3"]


def test_the_failure_domain_is_the_worker_itself_by_default() -> None:
    state = FleetState()
    effect(state, changed(1))
    assert state.workers()[0].failure_domain == "w1"


def test_announcements_cannot_be_gone_or_nameless() -> None:
    state = FleetState()
    assert effect(state, changed(1, status=WorkerStatus.GONE)) is Effect.INVALID
    assert effect(state, changed(1, incarnation="")) is Effect.INVALID
    assert state.revision == 0


def test_a_hold_outlasts_announcements_restarts_and_absence() -> None:
    state = FleetState()
    cordon = CordonWorker(worker_id="w1", cordoned=True)
    assert effect(state, cordon) is Effect.UNKNOWN
    effect(state, changed(1))
    assert effect(state, cordon) is Effect.CHANGED
    effect(state, changed(2, status=WorkerStatus.DRAINING))
    assert state.workers()[0].cordoned
    effect(state, changed(1, incarnation="b"))
    assert state.workers()[0].cordoned
    effect(state, WorkerRemoved(worker_id="w1", incarnation="b"))
    state = restored(state)
    effect(state, changed(1, incarnation="c"))
    assert state.workers()[0].cordoned
    assert effect(state, CordonWorker(worker_id="w1", cordoned=False)) is Effect.CHANGED
    assert not state.workers()[0].cordoned


def test_a_worker_cannot_release_or_hold_itself() -> None:
    state = FleetState()
    record = msgspec.structs.replace(worker(), cordoned=True)
    effect(state, WorkerChanged(record=record, sequence=1))
    assert not state.workers()[0].cordoned


def test_the_revision_grows_by_one_with_what_routers_must_know_and_nothing_else() -> None:
    state = FleetState()
    member = ControlMember(node_id="c1", address="127.0.0.1:3")
    transition = CircuitTransition(
        worker_id="w1", expected_generation=0, status=CircuitStatus.COOLDOWN
    )
    steps: list[tuple[Command, int]] = [
        (order("o1", 0), 1),
        (order("o2", 0), 0),
        (changed(1), 1),
        (CordonWorker(worker_id="w1", cordoned=True), 1),
        (CordonWorker(worker_id="w1", cordoned=True), 0),
        (router("r1"), 1),
        (router("r1"), 0),
        (RemoveRouter(router_id="r2"), 0),
        (RemoveRouter(router_id="r1"), 1),
        (CircuitChanged(transition=transition), 0),
        (RegisterControlMember(member=member), 0),
        (LeaderStarted(term=3), 0),
        (RevisionConfirmed(revision=2), 0),
        (WorkerRemoved(worker_id="w1", incarnation="a"), 1),
    ]
    for command, growth in steps:
        before = state.revision
        apply(state, command)
        assert state.revision - before == growth, command


def test_update_since_lists_workers_when_only_workers_changed() -> None:
    state = FleetState()
    effect(state, changed(1))
    effect(state, WorkerChanged(record=worker("w2"), sequence=1))
    adopted = state.revision
    effect(state, changed(2, status=WorkerStatus.DRAINING))
    effect(state, WorkerRemoved(worker_id="w2", incarnation="a"))
    update = state.update_since(adopted)
    assert update.view is None
    assert (update.base_revision, update.revision) == (adopted, state.revision)
    assert [(record.worker_id, record.status) for record in update.workers] == [
        ("w1", WorkerStatus.DRAINING),
        ("w2", WorkerStatus.GONE),
    ]


@pytest.mark.parametrize("command", [order("o9", 0), router("r9"), RemoveRouter(router_id="r1")])
def test_update_since_lists_what_changed_and_leads_to_the_whole_view(command: Command) -> None:
    state = FleetState()
    apply(state, router("r1"))
    effect(state, changed(1))
    adopted = state.view()
    apply(state, command)
    effect(state, changed(2, status=WorkerStatus.DRAINING))
    update = state.update_since(adopted.revision)
    assert update.view is None
    assert (update.configuration is not None) == isinstance(command, SubmitConfiguration)
    assert (update.witnesses is not None) == (not isinstance(command, SubmitConfiguration))
    assert apply_delta(adopted, update) == state.view()


def test_a_router_that_has_adopted_nothing_gets_the_whole_view() -> None:
    state = FleetState()
    assert state.update_since(0).view == state.view()
    effect(state, changed(1))
    assert state.update_since(0).view == state.view()


def test_update_since_is_whole_beyond_the_remembered_changes_and_after_a_restore() -> None:
    state = FleetState()
    for number in range(1030):
        effect(state, changed(number + 1, incarnation=f"i{number}"))
    assert state.update_since(state.revision - 1024).view is None
    assert state.update_since(state.revision - 1025).view == state.view()
    again = restored(state)
    assert again.update_since(again.revision - 1).view == state.view()
    up_to_date = again.update_since(again.revision)
    assert (up_to_date.view, up_to_date.workers) == (None, ())


def test_the_view_is_made_once_per_revision() -> None:
    state = FleetState()
    effect(state, changed(1))
    view = state.view()
    apply(state, LeaderStarted(term=1))
    assert state.view() is view
    effect(state, changed(2, status=WorkerStatus.DRAINING))
    assert state.view() is not view


def test_of_two_transitions_on_one_generation_exactly_one_takes_effect() -> None:
    state = FleetState()
    effect(state, changed(1))
    first, second = (
        CircuitChanged(
            transition=CircuitTransition(
                worker_id="w1",
                expected_generation=0,
                status=CircuitStatus.HALF_OPEN,
                probe_owner=owner,
            )
        )
        for owner in ("attempt-1", "attempt-2")
    )
    winner = apply(state, first)
    loser = apply(restored(state), second)
    assert isinstance(winner, CircuitResult)
    assert isinstance(loser, CircuitResult)
    assert (winner.effect, loser.effect) == (Effect.CHANGED, Effect.STALE)
    assert loser.record == winner.record == state.find_circuit("w1")
    assert state.circuits_sequence == 1


def test_a_circuit_of_an_unknown_worker_is_not_kept() -> None:
    state = FleetState()
    transition = CircuitTransition(
        worker_id="w1", expected_generation=0, status=CircuitStatus.COOLDOWN
    )
    outcome = apply(state, CircuitChanged(transition=transition))
    assert outcome == CircuitResult(effect=Effect.UNKNOWN)
    assert state.circuits() == ()


def test_capacity_transitions_take_effect_once_per_generation() -> None:
    state = FleetState()
    command = CapacityChanged(
        transition=CapacityTransition(
            failure_domain="rack", expected_generation=0, duration_seconds=2.0
        )
    )
    first = apply(state, command)
    second = apply(state, command)
    assert isinstance(first, CapacityResult)
    assert isinstance(second, CapacityResult)
    assert (first.effect, second.effect) == (Effect.CHANGED, Effect.STALE)
    assert state.find_capacity("rack") == first.record == second.record


def test_control_members_term_and_confirmed_revision() -> None:
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
    effect(state, changed(1))
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
def test_an_unreadable_snapshot_is_refused(data: bytes) -> None:
    with pytest.raises(SnapshotFormatError):
        FleetState.restore(data)


def test_commands_gain_fields_without_breaking_old_logs() -> None:
    newer = msgspec.msgpack.encode({"type": "leader_started", "term": 5, "added_later": 1})
    older = msgspec.msgpack.encode({"type": "worker_gone", "worker_id": "w", "incarnation": "a"})
    assert decode_command(newer) == LeaderStarted(term=5)
    assert decode_command(older) == WorkerRemoved(worker_id="w", incarnation="a")
