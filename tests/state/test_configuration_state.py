"""Configuration updates: compare-and-swap on the version, stored outcomes, history."""

from state_builders import apply, configuration_update, restored

from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import UpdateAccepted, UpdateConflict, UpdateIdReused, UpdateResult
from orchidpath.state.update_outcomes import UpdateOutcomes


def test_of_two_updates_to_one_version_exactly_one_is_accepted() -> None:
    state = FleetState()
    first = apply(state, configuration_update("o1", 0, "first"))
    second = apply(state, configuration_update("o2", 0, "second"))
    assert first == UpdateResult(outcome=UpdateAccepted(version=1))
    assert second == UpdateResult(outcome=UpdateConflict(current_version=1))
    assert [service.name for service in state.configuration.services] == ["first"]
    assert state.configuration_version == 1


def test_a_repeated_update_gets_its_first_outcome_also_after_a_snapshot() -> None:
    state = FleetState()
    apply(state, configuration_update("o1", 0))
    apply(state, configuration_update("o2", 0, "loser"))
    apply(state, configuration_update("o3", 1, "newer"))
    state = restored(state)
    revision = state.revision
    accepted = apply(state, configuration_update("o1", 0))
    conflicting = apply(state, configuration_update("o2", 0, "loser"))
    assert accepted == UpdateResult(outcome=UpdateAccepted(version=1), repeated=True)
    assert conflicting == UpdateResult(outcome=UpdateConflict(current_version=1), repeated=True)
    assert (state.configuration_version, state.revision) == (2, revision)
    assert state.configuration.services[0].name == "newer"


def test_a_reused_id_is_rejected_and_the_first_outcome_is_retained() -> None:
    state = FleetState()
    apply(state, configuration_update("o1", 0))
    # It is built on the current version, so that it can be rejected only for its digest.
    reused = apply(state, configuration_update("o1", 1, "other"))
    assert reused == UpdateResult(outcome=UpdateIdReused(current_version=1))
    assert state.configuration.services[0].name == "cellar"
    record = state.find_update("o1")
    assert record is not None
    assert record.outcome == UpdateAccepted(version=1)


def test_only_the_oldest_stored_updates_are_evicted_at_the_limit() -> None:
    outcomes = UpdateOutcomes(limit=3)
    for number in range(5):
        outcomes.record(f"o{number}", "d", UpdateAccepted(version=number))
    assert [record.order_id for record in outcomes.records()] == ["o2", "o3", "o4"]


def test_history_lists_the_accepted_versions() -> None:
    state = FleetState()
    apply(state, configuration_update("o1", 0))
    apply(state, configuration_update("o2", 0))
    apply(state, configuration_update("o3", 1))
    assert [(entry.version, entry.order_id) for entry in state.history()] == [(1, "o1"), (2, "o3")]
