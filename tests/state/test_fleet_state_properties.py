"""Properties of the replicated state that must hold for any sequence of commands."""

from hypothesis import given, settings
from hypothesis import strategies as st
from state_builders import configuration_update, registered, worker

from orchidpath.circuit.transitions import CapacityTransition, CircuitTransition
from orchidpath.routing.freshness import apply_delta
from orchidpath.state.commands import (
    CapacityChanged,
    CircuitChanged,
    Command,
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
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import UpdateAccepted, UpdateIdReused, UpdateResult
from orchidpath.wire.records import CircuitStatus, ControlMember, FleetView, WorkerStatus

worker_ids = st.sampled_from([f"w{number}" for number in range(4)])
incarnations = st.sampled_from(["a", "b", "c"])
sequences = st.integers(0, 12)
router_ids = st.sampled_from([f"r{number:02}" for number in range(12)])
small_numbers = st.integers(0, 6)

updates = st.builds(
    configuration_update,
    st.sampled_from([f"o{number}" for number in range(30)]),
    small_numbers,
    st.text(max_size=3),
)
workers = st.builds(worker, worker_ids, incarnations, st.sampled_from(WorkerStatus))
members = st.builds(ControlMember, node_id=st.sampled_from(["c1", "c2"]), address=st.text("ab"))
circuit_transitions = st.builds(
    CircuitTransition,
    worker_id=worker_ids,
    expected_generation=small_numbers,
    status=st.sampled_from(CircuitStatus),
    duration_seconds=st.floats(0, 300),
)
capacity_transitions = st.builds(
    CapacityTransition,
    failure_domain=worker_ids,
    expected_generation=small_numbers,
    duration_seconds=st.floats(0, 300),
)
worker_commands = st.one_of(
    st.builds(WorkerChanged, record=workers, sequence=sequences),
    st.builds(WorkerRemoved, worker_id=worker_ids, incarnation=incarnations, sequence=sequences),
    st.builds(CordonWorker, worker_id=worker_ids, cordoned=st.booleans()),
)
commands: st.SearchStrategy[Command] = st.one_of(
    updates,
    worker_commands,
    worker_commands,
    st.builds(registered, router_ids, st.sampled_from(["z1", "z2", "z3"])),
    st.builds(RemoveRouter, router_id=router_ids),
    st.builds(CircuitChanged, transition=circuit_transitions),
    st.builds(CapacityChanged, transition=capacity_transitions),
    st.builds(RegisterControlMember, member=members),
    st.builds(RemoveControlMember, node_id=st.sampled_from(["c1", "c2"])),
    st.builds(LeaderStarted, term=small_numbers),
    st.builds(RevisionConfirmed, revision=st.integers(0, 60)),
)
logs = st.lists(commands, min_size=150, max_size=400)
property_settings = settings(max_examples=25, deadline=None, derandomize=True)


@property_settings
@given(logs, st.integers(0, 400))
def test_a_restored_replica_continues_byte_for_byte_like_the_original(
    log: list[Command], restored_at: int
) -> None:
    original, replica = FleetState(), FleetState()
    for index, command in enumerate(log, start=1):
        payload = encode_command(command)
        assert original.apply(index, payload) == replica.apply(index, payload)
        if index == restored_at or index % 97 == 0:
            replica = FleetState.restore(original.snapshot())
    assert original.snapshot() == replica.snapshot()
    assert original.view() == replica.view()
    since = original.confirmed_revision
    assert original.witness_sets_since(since) == replica.witness_sets_since(since)


def adopt(adopted: FleetView, state: FleetState) -> FleetView:
    """Return the view of a router after it has applied the newest update."""
    update = state.update_since(adopted.revision)
    if update.view is not None:
        return update.view
    assert update.base_revision == adopted.revision
    return apply_delta(adopted, update)


@property_settings
@given(logs, st.integers(1, 9))
def test_updates_adopted_at_any_pace_result_in_the_full_view(log: list[Command], pace: int) -> None:
    state = FleetState()
    adopted = state.view()
    for index, command in enumerate(log, start=1):
        revision = state.revision
        state.apply(index, encode_command(command))
        assert state.revision - revision in {0, 1}
        if index % pace == 0:
            adopted = adopt(adopted, state)
            assert adopted == state.view()


@property_settings
@given(st.lists(updates, min_size=50, max_size=200))
def test_each_version_is_won_by_one_update_and_each_update_keeps_its_outcome(
    log: list[SubmitConfiguration],
) -> None:
    state = FleetState()
    winners: dict[int, str] = {}
    first: dict[tuple[str, str], UpdateResult] = {}
    for index, command in enumerate(log, start=1):
        result = state.apply(index, encode_command(command)).outcome
        assert isinstance(result, UpdateResult)
        key = (command.order_id, command.digest)
        earlier = first.setdefault(key, result).outcome
        if isinstance(earlier, UpdateIdReused):
            assert isinstance(result.outcome, UpdateIdReused)
        else:
            assert result.outcome == earlier
        if isinstance(result.outcome, UpdateAccepted):
            assert winners.setdefault(result.outcome.version, command.order_id) == command.order_id
    assert sorted(winners) == list(range(1, state.configuration_version + 1))
