"""Application of the transitions that the replicated log has committed."""

from orchidpath.circuit.transitions import (
    CapacityTransition,
    CircuitTransition,
    apply_capacity_transition,
    apply_circuit_transition,
    initial_circuit,
)
from orchidpath.wire.records import CircuitStatus


def test_a_transition_is_compare_and_swap_on_the_generation() -> None:
    # Paper: "Circuit transitions are atomic".
    grants = [
        CircuitTransition(
            worker_id="w",
            expected_generation=0,
            status=CircuitStatus.HALF_OPEN,
            duration_seconds=30.0,
            probe_owner=owner,
        )
        for owner in ("first", "second")
    ]
    agreed = apply_circuit_transition(None, grants[0])
    assert (agreed.generation, agreed.probe_owner) == (1, "first")
    assert apply_circuit_transition(agreed, grants[1]) == agreed
    outdated = CircuitTransition(
        worker_id="w", expected_generation=3, status=CircuitStatus.COOLDOWN
    )
    assert apply_circuit_transition(None, outdated) == initial_circuit("w")


def test_a_capacity_transition_is_compare_and_swap_on_the_generation() -> None:
    opening = CapacityTransition(failure_domain="d", expected_generation=0, duration_seconds=5.0)
    agreed = apply_capacity_transition(None, opening)
    assert (agreed.generation, agreed.duration_seconds) == (1, 5.0)
    assert apply_capacity_transition(agreed, opening) == agreed
