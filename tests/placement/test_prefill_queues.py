"""Prefill queues: the expected wait of a prompt and the measured pace of each worker."""

from orchidpath.placement.prefill_queues import (
    DEFAULT_SECONDS_PER_TOKEN,
    PREFILL_TTL_SECONDS,
    PrefillQueues,
)


def close(left: float, right: float) -> bool:
    return abs(left - right) < 1e-9


def prefill_one_after_the_other(
    queues: PrefillQueues, worker_id: str, tokens_per_second: int, count: int = 4
) -> None:
    """Begin ``count`` prefills of 20,000 tokens at once, and complete them one after the other."""
    tokens = 20_000
    for number in range(count):
        queues.begin(f"{worker_id}{number}", worker_id, tokens, 0.0, measures_pace=True)
    for number in range(count):
        ended_at = (number + 1) * tokens / tokens_per_second
        queues.end(f"{worker_id}{number}", worker_id, ended_at, was_completed=True)


def test_a_prompt_waits_for_the_queued_prefills() -> None:
    queues = PrefillQueues()
    queues.begin("a", "w", 40_000, 10.0, measures_pace=True)
    queues.begin("b", "w", 40_000, 10.2, measures_pace=True)
    assert close(queues.wait_seconds("w", 10.5), 80_000 * DEFAULT_SECONDS_PER_TOKEN - 0.5)
    queues.end("a", "w", 11.0, was_completed=True)
    assert queues.waiting_tokens("w") == 40_000
    assert queues.wait_seconds("w", 30.0) == 0.0
    assert queues.wait_seconds("another", 11.0) == 0.0


def test_each_worker_has_its_own_measured_pace() -> None:
    queues = PrefillQueues()
    prefill_one_after_the_other(queues, "fast", 50_000)
    prefill_one_after_the_other(queues, "slow", 20_000)
    assert close(queues.seconds_per_token("fast"), 1 / 50_000)
    assert close(queues.seconds_per_token("slow"), 1 / 20_000)


def test_a_worker_with_few_measurements_has_the_median_pace() -> None:
    queues = PrefillQueues()
    for worker_id in ("a", "b", "c"):
        prefill_one_after_the_other(queues, worker_id, 50_000)
    queues.begin("few", "new", 500, 0.0, measures_pace=True)
    queues.end("few", "new", 5.0, was_completed=True)
    assert close(queues.seconds_per_token("new"), 1 / 50_000)


def test_a_prefill_on_a_worker_with_running_requests_is_not_measured() -> None:
    queues = PrefillQueues()
    queues.begin("a", "w", 20_000, 0.0, measures_pace=False)
    queues.end("a", "w", 9.0, was_completed=True)
    assert queues.seconds_per_token("w") == DEFAULT_SECONDS_PER_TOKEN


def test_many_ends_reported_at_once_do_not_give_an_infinite_pace() -> None:
    queues = PrefillQueues()
    for name in ("a", "b"):
        queues.begin(name, "w", 20_000, 1.0, measures_pace=True)
    for name in ("a", "b"):
        queues.end(name, "w", 1.0, was_completed=True)
    assert queues.seconds_per_token("w") > 0.0


def test_a_repeated_end_or_one_of_another_worker_is_ignored() -> None:
    queues = PrefillQueues()
    queues.begin("a", "w", 20_000, 0.0, measures_pace=True)
    queues.end("a", "other", 1.0, was_completed=True)
    assert queues.waiting_tokens("w") == 20_000
    queues.end("a", "w", 1.0, was_completed=True)
    queues.end("a", "w", 1.0, was_completed=True)
    assert queues.waiting_tokens("w") == 0


def test_prefills_without_a_report_expire() -> None:
    queues = PrefillQueues()
    queues.begin("a", "w", 20_000, 0.0, measures_pace=True)
    queues.begin("b", "w", 5_000, 5.0, measures_pace=True)
    queues.expire(PREFILL_TTL_SECONDS + 0.1)
    assert queues.waiting_tokens("w") == 5_000


def test_a_removed_worker_is_dropped_with_its_prefills() -> None:
    queues = PrefillQueues()
    queues.begin("a", "w", 20_000, 0.0, measures_pace=True)
    queues.set_workers(frozenset())
    assert queues.waiting_tokens("w") == 0
    queues.end("a", "w", 1.0, was_completed=True)
    assert queues.waiting_tokens("w") == 0
