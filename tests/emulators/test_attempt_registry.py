"""At-most-once execution and bounded memory of the attempt registry."""

from hypothesis import given
from hypothesis import strategies as st

from orchidpath.emulators.backend.attempts import (
    Admission,
    AttemptRegistry,
    ExecutionCounter,
    Phase,
)
from orchidpath.wire.backend import Ran

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["admit", "start", "finish", "refuse", "cancel"]),
        st.sampled_from(["a", "b"]),
        st.sampled_from(list(Phase)),
    ),
    max_size=40,
)


@given(EVENTS)
def test_a_phase_starts_at_most_once_and_never_after_a_not_executed_guarantee(
    events: list[tuple[str, str, Phase]],
) -> None:
    registry = AttemptRegistry()
    starts: dict[tuple[str, Phase], int] = {}
    guaranteed: set[tuple[str, Phase]] = set()
    for now, (event, attempt_id, phase) in enumerate(events):
        key = (attempt_id, phase)
        if event == "admit":
            registry.admit("r", attempt_id, phase, now)
        elif event == "start":
            if registry.start(attempt_id, phase, now):
                assert key not in guaranteed
                starts[key] = starts.get(key, 0) + 1
        elif event == "finish":
            registry.finish(attempt_id, phase, now)
        elif event == "refuse" and registry.refuse(attempt_id, phase, now) is Ran.NO:
            assert key not in starts
            guaranteed.add(key)
        elif event == "cancel" and registry.cancel(attempt_id, now) is Ran.NO:
            assert not any(started == attempt_id for started, _ in starts)
            guaranteed |= {(attempt_id, each) for each in Phase}
    assert all(count == 1 for count in starts.values())


def test_duplicates_are_rejected_with_a_true_execution_status() -> None:
    registry = AttemptRegistry()
    assert registry.admit("r", "a", Phase.EXECUTION, 0.0) is Admission.ADMITTED
    assert registry.admit("r", "a", Phase.EXECUTION, 0.0) is Admission.DUPLICATE
    assert registry.ran("a", Phase.EXECUTION) is Ran.UNKNOWN
    assert registry.start("a", Phase.EXECUTION, 0.0)
    assert registry.ran("a", Phase.EXECUTION) is Ran.YES
    assert registry.admit("other", "a", Phase.PREFILL_DONE, 0.0) is Admission.DUPLICATE


def test_an_attempt_cancelled_before_its_arrival_is_rejected_permanently() -> None:
    registry = AttemptRegistry()
    assert registry.cancel("a", 0.0) is Ran.NO
    assert registry.admit("r", "a", Phase.EXECUTION, 1.0) is Admission.REFUSED_BEFORE
    assert registry.ran("a", Phase.EXECUTION) is Ran.NO


def test_a_full_registry_gives_no_guarantee_and_drops_only_old_ids() -> None:
    registry = AttemptRegistry(max_attempts=2, retention_seconds=10.0)
    registry.cancel("a", 0.0)
    registry.cancel("b", 0.0)
    assert registry.admit("r", "c", Phase.EXECUTION, 9.0) is Admission.FULL
    assert registry.cancel("c", 9.0) is Ran.UNKNOWN
    assert registry.admit("r", "c", Phase.EXECUTION, 10.0) is Admission.ADMITTED
    assert len(registry) == 2


def test_a_running_attempt_is_never_dropped() -> None:
    registry = AttemptRegistry(max_attempts=1, retention_seconds=10.0)
    registry.admit("r", "a", Phase.EXECUTION, 0.0)
    registry.start("a", Phase.EXECUTION, 0.0)
    assert registry.admit("r", "b", Phase.EXECUTION, 100.0) is Admission.FULL
    assert registry.admit("r", "a", Phase.EXECUTION, 100.0) is Admission.DUPLICATE


def test_executions_are_counted_separately_from_prefills() -> None:
    registry = AttemptRegistry()
    for attempt_id in ("a", "b"):
        registry.admit("r", attempt_id, Phase.PREFILL_DONE, 0.0)
        registry.start(attempt_id, Phase.PREFILL_DONE, 0.0)
    registry.admit("r", "b", Phase.EXECUTION, 0.0)
    registry.start("b", Phase.EXECUTION, 0.0)
    assert registry.prefills.highest == 2
    assert (registry.executions.highest, registry.executions.repeated) == (1, [])


def test_the_execution_counter_is_bounded() -> None:
    counter = ExecutionCounter(max_requests=2)
    for request_id in ("a", "b", "b", "c"):
        counter.add(request_id)
    assert [counter.count(each) for each in "abc"] == [0, 2, 1]
    assert (counter.total, counter.highest, counter.repeated) == (4, 2, ["b"])
