"""Liveness of workers and routers, as the leader sees it by their heartbeats."""

from orchidpath.control.leadership.liveness import ROUTER_REMOVAL_SECONDS, LivenessTracker
from orchidpath.wire.backend import WORKER_LEASE_SECONDS


def test_a_new_leader_grants_a_full_lease_before_it_removes_a_worker() -> None:
    one = LivenessTracker()
    workers = {"w": "first"}
    assert one.silent_workers(workers, 10.0) == []
    assert one.silent_workers(workers, 10.0 + WORKER_LEASE_SECONDS) == []
    assert one.silent_workers(workers, 10.1 + WORKER_LEASE_SECONDS) == [("w", "first", 0)]


def test_a_late_announcement_does_not_renew_a_lease() -> None:
    one = LivenessTracker()
    assert one.record_announcement("w", "first", 5, 10.0)
    assert not one.record_announcement("w", "first", 4, 20.0)
    assert one.silent_workers({"w": "first"}, 20.0) == [("w", "first", 5)]


def test_a_removal_is_proposed_again_only_after_a_while() -> None:
    one = LivenessTracker()
    one.record_router_contact("r", 0.0)
    silent_at = ROUTER_REMOVAL_SECONDS + 0.1
    assert one.silent_routers(["r"], silent_at) == ["r"]
    assert one.silent_routers(["r"], silent_at + 0.5) == []
    assert one.silent_routers(["r"], silent_at + 1.5) == ["r"]
