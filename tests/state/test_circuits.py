"""Replicated circuits: a transition applies only to the generation that it expects."""

from state_builders import announced, apply, effect, restored

from orchidpath.circuit.transitions import CapacityTransition, CircuitTransition
from orchidpath.state.commands import CapacityChanged, CircuitChanged
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import CapacityResult, CircuitResult, Effect
from orchidpath.wire.records import CircuitStatus


def test_of_two_transitions_on_one_generation_exactly_one_takes_effect() -> None:
    state = FleetState()
    effect(state, announced(1))
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


def test_a_circuit_of_an_unknown_worker_is_not_stored() -> None:
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
