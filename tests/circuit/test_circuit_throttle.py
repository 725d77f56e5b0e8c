"""Throttles of failure domains, derived from rejections and delays."""

import random

import msgspec
from circuit_builders import POLICY, worker

from orchidpath.circuit.throttle import ThrottleDetector
from orchidpath.circuit.throttle_evidence import BASELINE_SAMPLES_MINIMUM
from orchidpath.wire.messages import CapacityObserved


def detector_of(*worker_ids: str) -> ThrottleDetector:
    detector = ThrottleDetector(POLICY, random.Random(1))
    detector.set_workers([worker(worker_id, domain="d") for worker_id in worker_ids])
    return detector


def reject(
    detector: ThrottleDetector, worker_ids: str, now: float, prefix: str = "r"
) -> list[CapacityObserved]:
    """Record the rejection of a distinct request by each worker in turn.

    Each letter of ``worker_ids`` names a worker. Returns the throttles that were derived.
    """
    derived = [
        detector.observe_refusal(name, f"{prefix}-{number}", now)
        for number, name in enumerate(worker_ids)
    ]
    return [observed for observed in derived if observed is not None]


def warm_up_baseline(detector: ThrottleDetector, worker_ids: str, now: float) -> None:
    for number in range(2 * BASELINE_SAMPLES_MINIMUM):
        for name in worker_ids:
            assert detector.observe_delay(name, f"warm-{number}", 0.1, now) is None


def test_rejections_of_two_workers_throttle_their_domain() -> None:
    derived = reject(detector_of("a", "b"), "aba", 0.0)
    assert [observed.failure_domain for observed in derived] == ["d"]
    shortest = POLICY.throttle_cooldown_seconds
    assert shortest <= derived[0].retry_after_seconds <= shortest * 1.25


def test_one_worker_alone_never_throttles_a_domain_of_two() -> None:
    assert reject(detector_of("a", "b"), "a" * 20, 0.0) == []


def test_the_only_worker_of_a_domain_is_enough() -> None:
    assert len(reject(detector_of("a"), "aaa", 0.0)) == 1


def test_one_rejection_by_another_worker_does_not_throttle_the_domain_of_a_slow_worker() -> None:
    detector = detector_of("a", "b")
    for number in range(10):
        assert detector.observe_delay("b", f"fine-{number}", 0.1, 0.0) is None
    assert reject(detector, "aaaaaab", 0.0) == []


def test_retries_of_one_request_are_not_enough_evidence() -> None:
    detector = detector_of("a", "b", "c")
    for name in "abcabcabc":
        assert detector.observe_refusal(name, "same", 0.0) is None


def test_delays_count_against_the_domains_own_baseline() -> None:
    detector = detector_of("a", "b")
    warm_up_baseline(detector, "ab", 0.0)
    delays = [detector.observe_delay(name, f"s-{i}", 2.0, 20.0) for i, name in enumerate("abab")]
    assert delays == [None] * 4
    more = [detector.observe_delay(name, f"t-{i}", 2.0, 20.0) for i, name in enumerate("ab")]
    assert more[1] is not None
    # The same delay is no evidence in a domain whose baseline it is.
    slow = detector_of("a", "b")
    for number in range(60):
        assert slow.observe_delay("ab"[number % 2], f"r-{number}", 2.0, 0.0) is None


def test_a_rejection_has_more_weight_than_a_delay() -> None:
    detector = detector_of("a", "b")
    warm_up_baseline(detector, "ab", 0.0)
    for number, name in enumerate("aba"):
        assert detector.observe_delay(name, f"s-{number}", 2.0, 20.0) is None
    rejecting = detector_of("a", "b")
    warm_up_baseline(rejecting, "ab", 0.0)
    assert len(reject(rejecting, "aba", 20.0)) == 1


def test_old_evidence_expires() -> None:
    detector = detector_of("a", "b")
    assert reject(detector, "ab", 0.0) == []
    assert reject(detector, "a", 10.0, "later") == []


def test_a_throttle_does_not_oscillate() -> None:
    detector = detector_of("a", "b")
    first = reject(detector, "aba", 0.0)[0]
    # Rejections before the retry time has passed belong to the same throttle.
    assert reject(detector, "abababab", first.retry_after_seconds - 0.1, "late") == []
    # After that, a further throttle requires complete evidence again.
    end = first.retry_after_seconds
    assert reject(detector, "ab", end, "single") == []
    second = reject(detector, "aba", end, "again")[0]
    assert second.retry_after_seconds > 1.5 * first.retry_after_seconds
    # A quiet period resets the growth of the retry time.
    calm = reject(detector, "aba", end + 100.0, "calm")[0]
    assert calm.retry_after_seconds <= POLICY.throttle_cooldown_seconds * 1.25


def test_relapses_stay_below_the_longest_cooldown() -> None:
    detector = detector_of("a", "b")
    detector.set_policy(msgspec.structs.replace(POLICY, max_cooldown_seconds=30.0))
    now = 0.0
    for number in range(20):
        derived = reject(detector, "aba", now, str(number))[0]
        assert derived.retry_after_seconds <= 30.0
        now += derived.retry_after_seconds


def test_an_agreed_throttle_of_another_router_is_not_derived_again() -> None:
    detector = detector_of("a", "b")
    detector.record_open("d", 5.0, 0.0)
    assert reject(detector, "ababab", 4.9) == []
    assert len(reject(detector, "aba", 5.0)) == 1


def test_unknown_workers_are_ignored() -> None:
    detector = detector_of("a")
    detector.set_workers([])
    assert detector.observe_refusal("a", "r", 0.0) is None
    assert detector.observe_delay("a", "r", 1.0, 0.0) is None
