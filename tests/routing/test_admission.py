"""Admission: bounds by count, cost and tenant, release of requests, and accurate retry-after."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from orchidpath.routing.admission import (
    MAXIMUM_RETRY_AFTER_SECONDS,
    MINIMUM_RETRY_AFTER_SECONDS,
    AdmissionController,
    Admitted,
    Rejected,
    RejectionReason,
)
from orchidpath.wire.configuration import AdmissionPolicy

POLICY = AdmissionPolicy(
    max_requests_in_flight=10, max_cost_tokens_in_flight=1000, max_tenant_share=0.4
)


class AdmissionModel(RuleBasedStateMachine):
    """Compares the controller with a plain list of the admitted requests."""

    def __init__(self) -> None:
        super().__init__()
        self.controller = AdmissionController(POLICY)
        self.in_flight: dict[str, tuple[str, int]] = {}
        self.now = 0.0
        self.count = 0

    def load(self, tenant: str | None = None) -> tuple[int, int]:
        costs = [cost for name, cost in self.in_flight.values() if tenant in (None, name)]
        return len(costs), sum(costs)

    @rule(
        tenant=st.sampled_from("abc"),
        cost=st.one_of(st.integers(1, 400), st.integers(900, 1100)),
        pause=st.floats(0, 20),
    )
    def admit(self, tenant: str, cost: int, pause: float) -> None:
        self.now += pause
        self.count += 1
        request_id = str(self.count)
        answer = self.controller.admit(request_id, tenant, cost, self.now)
        if isinstance(answer, Admitted):
            self.in_flight[request_id] = (tenant, cost)
            self.check_tenant(tenant)
        else:
            self.check_rejection(answer, tenant, cost)

    def check_tenant(self, tenant: str) -> None:
        (requests, cost), (own_requests, own_cost) = self.load(), self.load(tenant)
        if own_requests > 1 and (requests > 5 or cost > 500):
            assert own_requests <= 4
            assert own_cost <= 400

    def check_rejection(self, answer: Rejected, tenant: str, cost: int) -> None:
        (requests, total), (own_requests, own_cost) = self.load(), self.load(tenant)
        full = requests == 10 or total + cost > 1000
        over_share = own_requests > 0 and (own_requests + 1 > 4 or own_cost + cost > 400)
        assert full or (over_share and (requests + 1 > 5 or total + cost > 500))
        if cost > 1000:
            assert answer == Rejected(reason=RejectionReason.TOO_LARGE, retry_after_seconds=None)
            return
        wait = answer.retry_after_seconds
        assert wait is not None
        assert MINIMUM_RETRY_AFTER_SECONDS <= wait <= MAXIMUM_RETRY_AFTER_SECONDS

    @rule(data=st.data(), repeats=st.integers(1, 2))
    def release(self, data: st.DataObject, repeats: int) -> None:
        if not self.in_flight:
            return
        request_id = data.draw(st.sampled_from(sorted(self.in_flight)))
        del self.in_flight[request_id]
        released = [self.controller.release(request_id, self.now) for _ in range(repeats)]
        assert released == [True, False][:repeats]

    @invariant()
    def counts_agree_and_stay_within_the_bounds(self) -> None:
        requests, cost = self.load()
        assert self.controller.requests_in_flight == requests <= 10
        assert self.controller.cost_tokens_in_flight == cost <= 1000
        assert len(self.controller._tenants) == len({name for name, _ in self.in_flight.values()})


TestAdmissionModel = AdmissionModel.TestCase
TestAdmissionModel.settings = settings(
    derandomize=True, deadline=None, max_examples=80, stateful_step_count=40
)


def wait_of(answer: Admitted | Rejected) -> float:
    assert isinstance(answer, Rejected)
    assert answer.retry_after_seconds is not None
    return answer.retry_after_seconds


def full_controller(tenants: int = 10) -> AdmissionController:
    """Return a controller with ten requests in flight, after ten that took two seconds each."""
    controller = AdmissionController(POLICY)
    for start in (-2.0, 0.0):
        for number in range(10):
            answer = controller.admit(str(number), f"tenant-{number % tenants}", 1, start)
            assert isinstance(answer, Admitted)
        if start < 0:
            for number in range(10):
                controller.release(str(number), start + 2.0)
    return controller


def test_a_single_tenant_may_fill_an_idle_router_to_the_crowded_threshold_only() -> None:
    controller = AdmissionController(POLICY)
    answers = [controller.admit(str(number), "lone", 1, 0.0) for number in range(6)]
    assert [isinstance(answer, Admitted) for answer in answers] == [True] * 5 + [False]
    assert isinstance(controller.admit("other", "another", 1, 0.0), Admitted)


def test_retry_after_follows_the_drain_rate_and_spreads_the_callers() -> None:
    controller = full_controller()
    waits = [wait_of(controller.admit(f"late-{n}", "late", 1, 0.0)) for n in range(30)]
    # Ten requests of two seconds each complete at a rate of five a second.
    assert waits[:20] == pytest.approx([0.2 * place for place in range(1, 21)])
    assert waits[20:] == pytest.approx([4.0] * 10)


def test_retry_after_grows_while_nothing_drains() -> None:
    controller = full_controller()
    assert wait_of(controller.admit("late", "late", 1, 20.0)) == pytest.approx(2.0)
    assert wait_of(controller.admit("later", "late", 1, 4000.0)) == MAXIMUM_RETRY_AFTER_SECONDS


def test_retry_after_of_a_large_request_counts_what_must_drain() -> None:
    controller = AdmissionController(POLICY)
    for number in range(5):
        controller.admit(str(number), f"tenant-{number}", 200, 0.0)
    rejected = controller.admit("large", "late", 600, 0.0)
    assert wait_of(rejected) == pytest.approx(3 * 1.0 / 5)


def test_a_rejected_tenant_does_not_lengthen_the_wait_of_others() -> None:
    controller = full_controller(tenants=3)
    policy = AdmissionPolicy(max_requests_in_flight=12, max_tenant_share=0.3)
    controller.set_policy(policy)
    for number in range(50):
        rejected = controller.admit(f"hog-{number}", "tenant-0", 1, 0.0)
        assert isinstance(rejected, Rejected)
        assert rejected.reason is RejectionReason.TENANT_SHARE
    controller.set_policy(POLICY)
    assert wait_of(controller.admit("late", "late", 1, 0.0)) == pytest.approx(0.2)


def test_a_smaller_policy_applies_to_the_next_request_and_a_repeated_id_is_rejected() -> None:
    controller = full_controller()
    controller.release("9", 1.0)
    repeated = controller.admit("1", "late", 1, 1.0)
    assert isinstance(repeated, Rejected)
    assert repeated.reason is RejectionReason.DUPLICATE_REQUEST
    controller.set_policy(AdmissionPolicy(max_requests_in_flight=9))
    assert isinstance(controller.admit("new", "late", 1, 1.0), Rejected)
    assert controller.requests_in_flight == 9
