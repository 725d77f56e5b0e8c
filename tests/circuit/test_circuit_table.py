"""Circuit table of the leader (paper, "Circuit breakers and bounded retries"; design page)."""

import msgspec
import pytest
from circuit_builders import POLICY, AgreedTable, report, request, stage_candidates, worker

from orchidpath.circuit.circuit_table import Decided, NeedsTransition
from orchidpath.wire.messages import (
    AttemptEffect,
    CapacityObserved,
    CounterReport,
    InFlightMark,
    Rejection,
    WorkerTally,
)
from orchidpath.wire.records import CircuitStatus, Stage, WorkerStatus

TRANSIENT = AttemptEffect.TRANSIENT
SUCCESS = AttemptEffect.SUCCESS


def table_of(*worker_ids: str, domain: str = "") -> AgreedTable:
    return AgreedTable([worker(worker_id, domain=domain) for worker_id in worker_ids])


def test_preference_order_applies_without_load() -> None:
    table = table_of("a", "b")
    assert table.choose("1", ["b", "a"], 0.0) == "b"


def test_every_untried_worker_comes_before_a_reuse() -> None:
    # Design page: "Each eligible worker is tried once before any reuse".
    table = table_of("a", "b", "c")
    for tried, expected in [(["a"], "b"), (["a", "b"], "c"), (["a", "b", "c"], "a")]:
        attempt = request(f"after-{len(tried)}", stage_candidates(["a", "b", "c"], tried))
        assert table.decide(attempt, 0.0).choices[0].worker_id == expected


def test_a_loaded_untried_worker_still_comes_before_a_reuse() -> None:
    table = table_of("a", "b")
    for number in range(5):
        table.choose(f"busy-{number}", ["b"], 0.0)
    attempt = request("retry", stage_candidates(["a", "b"], ["a"]))
    assert table.decide(attempt, 0.0).choices[0].worker_id == "b"


def test_a_worker_over_the_load_bound_is_skipped() -> None:
    table = table_of("a", "b")
    chosen = [table.choose(str(number), ["a", "b"], 0.0) for number in range(4)]
    assert chosen == ["a", "a", "b", "a"]


def test_an_open_circuit_is_skipped_and_probed_after_its_cooldown() -> None:
    table = table_of("a", "b")
    table.open("a", 0.0)
    assert table.status("a", 0.0) == "cooldown"
    assert table.choose("early", ["a", "b"], 9.9) == "b"
    reply = table.decide(request("probe", stage_candidates(["a", "b"])), 10.0)
    assert reply.choices[0].worker_id == "a"
    assert reply.choices[0].probe_generation == 2
    # Paper: "concurrent requests use other candidates".
    assert table.choose("other", ["a", "b"], 11.0) == "b"
    assert table.choose("only", ["a"], 11.0) == ""


def test_a_probe_needs_an_agreed_grant_before_anything_is_registered() -> None:
    table = table_of("a")
    table.open("a", 0.0)
    answer = table.table.decide(request("probe", stage_candidates(["a"])), 10.0)
    assert isinstance(answer, NeedsTransition)
    assert answer.transition.status is CircuitStatus.HALF_OPEN
    assert answer.transition.probe_owner == "probe"
    assert table.in_flight("a", 10.0) == 0


def test_of_two_racing_probe_grants_one_wins() -> None:
    table = table_of("a", "b")
    table.open("a", 0.0)
    first = table.table.decide(request("first", stage_candidates(["a", "b"])), 10.0)
    second = table.table.decide(request("second", stage_candidates(["a", "b"])), 10.0)
    assert isinstance(first, NeedsTransition)
    assert isinstance(second, NeedsTransition)
    table.commit(first.transition, 10.0)
    table.commit(second.transition, 10.0)
    assert table.choose("second", ["a", "b"], 10.0) == "b"
    assert table.choose("first", ["a", "b"], 10.0) == "a"


def test_a_successful_probe_closes_and_a_failed_one_reopens_longer() -> None:
    table = table_of("a")
    table.open("a", 0.0)
    assert table.attempt("a", TRANSIENT, 10.0) == 1
    assert table.status("a", 10.0) == "cooldown"
    assert table.choose("early", ["a"], 25.9) == ""
    assert table.attempt("a", SUCCESS, 34.1) == 1
    assert table.status("a", 34.1) == "available"


def test_an_expired_probe_passes_to_another_owner_and_its_late_failure_is_ignored() -> None:
    # Design page: "one request owns the probe for at most halfOpenProbeSeconds 30".
    table = table_of("a")
    table.open("a", 0.0)
    first = table.decide(request("first", stage_candidates(["a"])), 10.0).choices[0]
    assert table.choose("early", ["a"], 39.9) == ""
    second = table.decide(request("second", stage_candidates(["a"])), 40.0).choices[0]
    assert first.probe_generation is not None
    assert second.probe_generation == first.probe_generation + 1
    late = report("first", "a", TRANSIENT, probe_generation=first.probe_generation)
    assert table.report(late, 41.0) == 0
    assert table.status("a", 41.0) == "half_open"


def test_a_probe_follows_preference_order_and_needs_a_remaining_retry() -> None:
    table = table_of("a", "b", "c")
    table.open("b", 0.0)
    # Worker b is not the next in preference order, so it is not probed.
    assert table.choose("1", ["a", "b", "c"], 10.0) == "a"
    # Worker b is the next one, but no untried closed worker would remain for a retry. The closed
    # worker is reused.
    no_retry = request("2", stage_candidates(["b", "a"], ["a"]))
    assert table.decide(no_retry, 10.0).choices[0].worker_id == "a"
    # Worker b is the next one, and a closed worker remains for a retry.
    assert table.choose("3", ["b", "a"], 10.0) == "b"


def test_a_request_takes_one_probe_while_the_other_stage_has_a_closed_worker() -> None:
    table = table_of("a", "b", "c", "d")
    table.open("a", 0.0)
    table.open("c", 0.0)
    per_stage = (
        stage_candidates(["a", "b"], stage=Stage.PREFILL),
        stage_candidates(["c", "d"], stage=Stage.DECODE),
    )
    choices = table.decide(request("pair", *per_stage), 10.0).choices
    assert [choice.worker_id for choice in choices] == ["a", "d"]


def test_a_granted_probe_that_cannot_be_used_is_released() -> None:
    table = table_of("a", "b")
    table.open("a", 0.0)
    per_stage = (
        stage_candidates(["a"], stage=Stage.PREFILL),
        stage_candidates(["b"], stage=Stage.DECODE),
    )
    grant = table.table.decide(request("pair", *per_stage), 10.0)
    assert isinstance(grant, NeedsTransition)
    table.commit(grant.transition, 10.0)
    table.open("b", 10.0)
    assert table.decide(request("pair", *per_stage), 10.0).rejection is Rejection.CIRCUITS_OPEN
    assert table.choose("next", ["a"], 10.0) == "a"


def test_a_neutral_end_of_the_probe_lets_the_next_request_probe() -> None:
    table = table_of("a")
    table.open("a", 0.0)
    assert table.attempt("a", AttemptEffect.REQUEST, 10.0) == 1
    reply = table.decide(request("next", stage_candidates(["a"])), 10.0)
    assert reply.choices[0].probe_generation is not None


def test_all_stages_are_registered_or_none() -> None:
    table = table_of("a", "b")
    table.open("b", 0.0)
    per_stage = (
        stage_candidates(["a"], stage=Stage.PREFILL),
        stage_candidates(["b"], stage=Stage.DECODE),
    )
    reply = table.decide(request("1", *per_stage), 4.0)
    assert (reply.rejection, reply.retry_after_seconds) == (Rejection.CIRCUITS_OPEN, 6.0)
    assert reply.choices == ()
    assert table.in_flight("a", 4.0) == 0


def test_retry_after_is_the_first_time_that_some_candidate_may_be_tried() -> None:
    # Paper: "503 deployments_in_cooldown with an accurate Retry-After header".
    table = table_of("a", "b")
    table.open("a", 0.0)
    table.open("b", 3.0)
    reply = table.decide(request("1", stage_candidates(["b", "a"])), 4.0)
    assert (reply.rejection, reply.retry_after_seconds) == (Rejection.CIRCUITS_OPEN, 6.0)
    waits = {state.worker_id: state.retry_after_seconds for state in reply.states}
    assert waits == {"a": 6.0, "b": 9.0}
    assert table.choose("2", ["b", "a"], 10.0) == "a"


def test_a_capacity_circuit_covers_all_workers_of_its_domain_and_no_others() -> None:
    # Paper: "A provider 429 opens one capacity circuit for every deployment with the same value".
    table = AgreedTable([worker("a", domain="d"), worker("b", domain="d"), worker("c")])
    assert table.throttle("d", 5.0, 0.0)
    assert table.choose("1", ["a", "b", "c"], 1.0) == "c"
    reply = table.decide(request("2", stage_candidates(["a", "b"])), 1.0)
    assert (reply.rejection, reply.retry_after_seconds) == (Rejection.SHARED_CAPACITY, 4.0)
    assert table.status("a", 1.0) == CircuitStatus.RATE_LIMITED.value
    assert table.health("a", 1.0) == 0.5
    assert table.choose("3", ["a", "b"], 5.0) == "a"


def test_an_open_capacity_circuit_is_not_extended() -> None:
    table = AgreedTable([worker("a", domain="d")])
    assert table.throttle("d", 5.0, 0.0)
    assert not table.throttle("d", 300.0, 4.9)
    assert table.throttle("d", 1000.0, 5.0)
    reply = table.decide(request("1", stage_candidates(["a"])), 5.0)
    assert reply.retry_after_seconds == POLICY.max_cooldown_seconds


def test_an_unusable_retry_time_opens_nothing() -> None:
    table = AgreedTable([worker("a", domain="d")])
    for seconds in (0.0, -1.0, float("nan"), float("inf")):
        assert not table.throttle("d", seconds, 0.0)


def test_one_transient_failure_for_each_request_and_worker() -> None:
    # Design page: "Each counts once per request and worker".
    table = table_of("a")
    for _ in range(5):
        assert table.attempt("a", TRANSIENT, 0.0, request_id="same") == 0
    assert table.status("a", 0.0) == "available"
    assert table.attempt("a", TRANSIENT, 0.0) == 0
    assert table.attempt("a", TRANSIENT, 0.0) == 1


def test_a_repeated_report_changes_nothing() -> None:
    table = table_of("a")
    ended = [report(str(number), "a", TRANSIENT) for number in range(2)]
    for _ in range(3):
        for ended_report in ended:
            assert table.report(ended_report, 0.0) == 0
    assert table.table.view(0.0)[0].transient_failures == 2
    assert table.health("a", 0.0) == 0.0


@pytest.mark.parametrize("effect", [TRANSIENT, AttemptEffect.CONFIGURATION])
def test_failures_begun_before_the_opening_never_extend_it(effect: AttemptEffect) -> None:
    table = table_of("a")
    for number in range(4):
        table.choose(f"late-{number}", ["a"], 0.0)
    table.open("a", 0.0)
    for number in range(2):
        assert table.report(report(f"late-{number}", "a", effect), 5.0) == 0
    assert table.attempt("a", SUCCESS, 10.0) == 1
    # They do not count after the circuit has closed again, either.
    for number in range(2, 4):
        assert table.report(report(f"late-{number}", "a", effect), 11.0) == 0
    assert table.table.view(11.0)[0].transient_failures == 0


def test_a_configuration_failure_quarantines_until_a_probe_succeeds() -> None:
    table = table_of("a")
    assert table.attempt("a", AttemptEffect.CONFIGURATION, 0.0) == 1
    assert table.status("a", 299.0) == "quarantined"
    assert table.choose("early", ["a"], 299.9) == ""
    assert table.attempt("a", SUCCESS, 300.0) == 1
    assert table.status("a", 300.0) == "available"


def test_in_flight_marks_are_idempotent_freed_by_reports_and_by_time() -> None:
    table = table_of("a", "b")
    first = table.decide(request("1", stage_candidates(["a", "b"])), 0.0)
    assert table.decide(request("1", stage_candidates(["b", "a"])), 1.0).choices == first.choices
    assert (table.in_flight("a", 1.0), table.in_flight("b", 1.0)) == (1, 0)
    table.report(report("1", "a", SUCCESS), 2.0)
    assert table.in_flight("a", 2.0) == 0
    # A duplicate that arrives after the attempt has ended registers nothing.
    assert table.decide(request("1", stage_candidates(["a"])), 3.0).choices == ()
    assert table.in_flight("a", 3.0) == 0
    table.choose("2", ["a"], 3.0)
    assert table.in_flight("a", 3.0 + POLICY.in_flight_ttl_seconds) == 0


def test_removed_draining_and_cordoned_workers_are_not_chosen() -> None:
    table = table_of("a", "b", "c", "d")
    draining = msgspec.structs.replace(worker("b"), status=WorkerStatus.DRAINING)
    cordoned = msgspec.structs.replace(worker("c"), cordoned=True)
    table.table.set_workers([draining, cordoned, worker("d")])
    assert table.choose("1", ["a", "b", "c", "d"], 0.0) == "d"
    assert (
        table.decide(request("2", stage_candidates(["a", "b", "c"])), 0.0).rejection
        is Rejection.EXHAUSTED
    )


def test_a_new_incarnation_starts_with_a_closed_circuit_without_earlier_charges() -> None:
    # A failure of the former process must not count against the new one.
    table = table_of("a")
    table.choose("old", ["a"], 0.0)
    table.open("a", 0.0)
    table.table.set_workers([worker("a", incarnation="2")])
    assert table.status("a", 1.0) == "available"
    assert (table.health("a", 1.0), table.in_flight("a", 1.0)) == (0.5, 0)
    assert table.report(report("old", "a", AttemptEffect.CONFIGURATION), 1.0) == 0
    assert table.health("a", 1.0) == 0.5
    # The generation continues, so the log accepts the next opening.
    table.open("a", 2.0)
    assert table.status("a", 2.0) == "cooldown"


def test_a_worker_that_returns_has_its_agreed_circuit() -> None:
    table = table_of("a", "b")
    table.open("a", 0.0)
    table.table.set_workers([worker("b")])
    assert [view.worker_id for view in table.table.view(0.0)] == ["b"]
    table.table.set_workers([worker("a"), worker("b")])
    assert table.status("a", 5.0) == "cooldown"


def test_an_agreed_circuit_of_an_unregistered_worker_is_not_in_the_view() -> None:
    table = table_of("a", "b")
    table.open("a", 0.0)
    later = table_of("b")
    later.table.apply_circuit(table.circuits["a"], 0.0)
    assert [view.worker_id for view in later.table.view(1.0)] == ["b"]
    assert later.table.circuits_view(1.0).circuits == ()
    later.table.set_workers([worker("a"), worker("b")])
    assert later.status("a", 1.0) == "cooldown"


def test_a_new_leader_rebuilds_from_the_routers_counters_once() -> None:
    # Health and failure counts survive a fail-over through the routers' counters.
    table = table_of("a")
    mark = InFlightMark(request_id="r", attempt_id="x", worker_id="a", age_seconds=20.0)
    tally = WorkerTally(worker_id="a", successes=6, failures=2, consecutive_transients=2)
    counters = CounterReport(term=1, in_flight=(mark,), tallies=(tally,))
    table.table.rebuild("router-1", counters, 1000.0)
    worse = WorkerTally(worker_id="a", successes=0, failures=8, consecutive_transients=2)
    again = msgspec.structs.replace(counters, tallies=(worse,))
    table.table.rebuild("router-1", again, 1000.0)
    stale = msgspec.structs.replace(again, term=0)
    table.table.rebuild("router-2", stale, 1000.0)
    assert table.health("a", 1000.0) == 0.75
    assert table.in_flight("a", 1000.0) == 1
    assert table.in_flight("a", 1100.0) == 0
    assert table.attempt("a", TRANSIENT, 1100.0) == 1


def test_agreed_circuits_survive_a_fail_over_with_their_probe_owner() -> None:
    before = table_of("a")
    before.open("a", 0.0)
    granted = before.decide(request("owner", stage_candidates(["a"])), 10.0).choices[0]
    after = table_of("a")
    after.circuits = dict(before.circuits)
    for record in after.circuits.values():
        after.table.apply_circuit(record, 100.0)
    assert after.choose("other", ["a"], 101.0) == ""
    ended = report("owner", "a", SUCCESS, probe_generation=granted.probe_generation)
    assert after.report(ended, 102.0) == 1
    assert after.status("a", 102.0) == "available"


def test_views_contain_the_remaining_times() -> None:
    table = AgreedTable([worker("a", domain="d"), worker("b")])
    table.open("b", 0.0)
    table.throttle("d", 5.0, 0.0)
    view = table.table.circuits_view(4.0, sequence=3)
    assert (view.term, view.sequence) == (1, 3)
    assert [(record.worker_id, record.duration_seconds) for record in view.circuits] == [("b", 6.0)]
    assert [record.duration_seconds for record in view.capacities] == [1.0]
    waits = [worker_view.retry_after_ms for worker_view in table.table.view(4.0)]
    assert waits == [1000, 6000]
    assert table.status("b", 10.0) == "half_open"


def test_a_new_policy_counts_from_now_on() -> None:
    table = table_of("a")
    table.attempt("a", TRANSIENT, 0.0)
    changed = msgspec.structs.replace(POLICY, allowed_fails=2, health_window_seconds=60.0)
    table.table.set_policy(changed)
    assert table.attempt("a", TRANSIENT, 1.0) == 1
    assert table.health("a", 70.0) == 0.5


def test_a_decision_without_candidates_is_exhausted() -> None:
    answer = table_of("a").table.decide(request("1", stage_candidates([])), 0.0)
    assert isinstance(answer, Decided)
    assert answer.reply.rejection is Rejection.EXHAUSTED


def test_a_capacity_observation_is_only_a_proposal() -> None:
    table = AgreedTable([worker("a", domain="d")])
    observed = CapacityObserved(failure_domain="d", retry_after_seconds=5.0)
    assert table.table.observe_capacity(observed, 0.0) is not None
    assert table.choose("1", ["a"], 0.0) == "a"
