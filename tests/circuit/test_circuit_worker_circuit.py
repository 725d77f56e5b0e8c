"""Circuit of one worker: admission, outcomes and timer."""

import random

import pytest
from circuit_builders import POLICY, circuit_in

from orchidpath.circuit.breaker import (
    BreakerEvent,
)
from orchidpath.circuit.worker_circuit import Admission, AttemptOutcome, WorkerCircuit
from orchidpath.wire.messages import AttemptEffect
from orchidpath.wire.records import CircuitRecord, CircuitStatus

RANDOM = random.Random(1)


def outcome(
    effect: AttemptEffect, attempt_id: str = "a", probe_generation: int | None = None
) -> AttemptOutcome:
    return AttemptOutcome(attempt_id=attempt_id, effect=effect, probe_generation=probe_generation)


def test_the_third_transient_failure_opens_the_circuit_for_ten_seconds() -> None:
    # Design page: "After allowedFails 3 a circuit opens"; "cooldownSeconds 10".
    circuit = WorkerCircuit("w")
    events = [circuit.record_outcome(outcome(AttemptEffect.TRANSIENT), 3, 0.0) for _ in range(3)]
    assert events == [None, None, BreakerEvent.FAILURES_REACHED]
    transition = circuit.propose(BreakerEvent.FAILURES_REACHED, POLICY, RANDOM)
    assert transition is not None
    assert transition.status is CircuitStatus.COOLDOWN
    assert transition.duration_seconds == 10.0


def test_a_success_while_closed_clears_the_transient_count() -> None:
    circuit = WorkerCircuit("w")
    for effect in (AttemptEffect.TRANSIENT, AttemptEffect.TRANSIENT, AttemptEffect.SUCCESS):
        circuit.record_outcome(outcome(effect), 3, 0.0)
    assert circuit.transient_failures == 0


@pytest.mark.parametrize(
    "effect", [AttemptEffect.REQUEST, AttemptEffect.THROTTLE, AttemptEffect.GATEWAY]
)
def test_neutral_effects_count_towards_no_circuit(effect: AttemptEffect) -> None:
    circuit = WorkerCircuit("w")
    assert [circuit.record_outcome(outcome(effect), 1, 0.0) for _ in range(5)] == [None] * 5
    assert circuit.transient_failures == 0


def test_a_request_charged_before_counts_no_second_failure() -> None:
    circuit = WorkerCircuit("w")
    again = AttemptOutcome(attempt_id="a", effect=AttemptEffect.TRANSIENT, charged_before=True)
    assert circuit.record_outcome(again, 1, 0.0) is None


def test_a_configuration_failure_quarantines_at_once() -> None:
    # Paper: "quarantine that deployment immediately"; configurationCooldownSeconds 300.
    circuit = WorkerCircuit("w")
    event = circuit.record_outcome(outcome(AttemptEffect.CONFIGURATION), 3, 0.0)
    assert event is BreakerEvent.MISCONFIGURED
    transition = circuit.propose(event, POLICY, RANDOM)
    assert transition is not None
    assert transition.status is CircuitStatus.QUARANTINED
    assert transition.duration_seconds == 300.0


@pytest.mark.parametrize(
    "status", [CircuitStatus.COOLDOWN, CircuitStatus.QUARANTINED, CircuitStatus.HALF_OPEN]
)
@pytest.mark.parametrize("effect", list(AttemptEffect))
def test_late_outcomes_never_change_an_open_circuit(
    status: CircuitStatus, effect: AttemptEffect
) -> None:
    # Paper: "late in-flight failures cannot extend it"; only the probe may close it.
    circuit = circuit_in(status)
    assert circuit.record_outcome(outcome(effect, "late"), 1, 5.0) is None


def test_a_late_failure_of_an_earlier_generation_is_not_counted_on_a_closed_circuit() -> None:
    circuit = circuit_in(CircuitStatus.AVAILABLE)
    late = AttemptOutcome(attempt_id="a", effect=AttemptEffect.TRANSIENT, started_generation=6)
    assert circuit.record_outcome(late, 1, 0.0) is None
    misconfigured = AttemptOutcome(
        attempt_id="a", effect=AttemptEffect.CONFIGURATION, started_generation=6
    )
    assert circuit.record_outcome(misconfigured, 1, 0.0) is None


@pytest.mark.parametrize(
    ("effect", "event"),
    [
        (AttemptEffect.SUCCESS, BreakerEvent.PROBE_SUCCEEDED),
        (AttemptEffect.TRANSIENT, BreakerEvent.PROBE_FAILED),
        (AttemptEffect.CONFIGURATION, BreakerEvent.PROBE_MISCONFIGURED),
        (AttemptEffect.REQUEST, BreakerEvent.PROBE_RETURNED),
        (AttemptEffect.THROTTLE, BreakerEvent.PROBE_RETURNED),
        (AttemptEffect.GATEWAY, BreakerEvent.PROBE_RETURNED),
    ],
)
def test_only_the_owner_with_its_fencing_token_decides_the_probe(
    effect: AttemptEffect, event: BreakerEvent
) -> None:
    circuit = circuit_in(CircuitStatus.HALF_OPEN)
    assert circuit.record_outcome(outcome(effect, "owner", 6), 3, 1.0) is None
    assert circuit.record_outcome(outcome(effect, "other", 7), 3, 1.0) is None
    assert circuit.record_outcome(outcome(effect, "owner", 7), 3, 1.0) is event


def test_a_probe_past_its_time_cannot_reopen_but_can_close() -> None:
    circuit = circuit_in(CircuitStatus.HALF_OPEN)
    assert circuit.record_outcome(outcome(AttemptEffect.TRANSIENT, "owner", 7), 3, 10.0) is None
    success = circuit.record_outcome(outcome(AttemptEffect.SUCCESS, "owner", 7), 3, 10.0)
    assert success is BreakerEvent.PROBE_SUCCEEDED


def test_admission_of_an_open_circuit() -> None:
    circuit = circuit_in(CircuitStatus.HALF_OPEN, duration_seconds=30.0)
    assert circuit.admission("owner", 29.0) is Admission.PROBE_OWNED
    assert circuit.admission("other", 29.0) is Admission.BLOCKED
    # "one request owns the probe for at most halfOpenProbeSeconds 30"
    assert circuit.admission("other", 30.0) is Admission.PROBE_READY
    assert circuit.admission("owner", 30.0) is Admission.PROBE_READY
    cooling = circuit_in(CircuitStatus.COOLDOWN)
    assert cooling.admission("a", 9.9) is Admission.BLOCKED
    assert cooling.admission("a", 10.0) is Admission.PROBE_READY
    assert circuit_in(CircuitStatus.AVAILABLE).admission("a", 0.0) is Admission.CLOSED


def test_a_record_applied_again_restarts_no_timer() -> None:
    circuit = circuit_in(CircuitStatus.COOLDOWN)
    assert not circuit.accept(circuit.record, 9.0)
    assert circuit.wait_seconds(10.0) == 0.0


def test_a_new_process_starts_with_a_closed_circuit_of_the_same_generation() -> None:
    circuit = WorkerCircuit("w", "old")
    opened = CircuitRecord(
        worker_id="w",
        status=CircuitStatus.QUARANTINED,
        generation=4,
        duration_seconds=300.0,
        incarnation="old",
    )
    circuit.accept(opened, 0.0)
    assert circuit.set_incarnation("new")
    assert circuit.admission("a", 1.0) is Admission.CLOSED
    assert circuit.record.generation == 4
    # A new leader that receives the record after the process gets the same result.
    later = WorkerCircuit("w", "new")
    later.accept(opened, 0.0)
    assert later.admission("a", 1.0) is Admission.CLOSED
