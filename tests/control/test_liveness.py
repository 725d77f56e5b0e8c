"""Liveness of workers and routers, as their announcements and heartbeats reach the leader."""

from orchidpath.control.leadership.liveness import ROUTER_REMOVAL_SECONDS, LivenessTracker
from orchidpath.wire.backend import WORKER_LEASE_SECONDS


def test_a_new_leader_grants_a_full_lease_before_it_removes_a_worker() -> None:
    tracker = LivenessTracker()
    workers = {"w": "first"}
    assert tracker.silent_workers(workers, 10.0) == []
    assert tracker.silent_workers(workers, 10.0 + WORKER_LEASE_SECONDS) == []
    assert tracker.silent_workers(workers, 10.1 + WORKER_LEASE_SECONDS) == [("w", "first", 0)]


def test_a_late_announcement_does_not_renew_a_lease() -> None:
    tracker = LivenessTracker()
    assert tracker.record_announcement("w", "first", 5, 10.0)
    assert not tracker.record_announcement("w", "first", 4, 20.0)
    assert tracker.silent_workers({"w": "first"}, 20.0) == [("w", "first", 5)]


def test_a_removal_is_proposed_again_only_after_a_while() -> None:
    tracker = LivenessTracker()
    tracker.record_router_contact("r", 0.0)
    silent_at = ROUTER_REMOVAL_SECONDS + 0.1
    assert tracker.silent_routers(["r"], silent_at) == ["r"]
    assert tracker.silent_routers(["r"], silent_at + 0.5) == []
    assert tracker.silent_routers(["r"], silent_at + 1.5) == ["r"]


def test_proposals_that_may_be_repeated_are_forgotten() -> None:
    """Guards against a leader whose memory grows with every worker that ever fell silent."""
    tracker = LivenessTracker()
    for number in range(100):
        now = 100.0 * number
        workers = {f"w{number}": "first"}
        tracker.silent_workers(workers, now)
        assert len(tracker.silent_workers(workers, now + WORKER_LEASE_SECONDS + 0.1)) == 1
        tracker.retain_workers({})
        assert tracker.proposal_count == 1
