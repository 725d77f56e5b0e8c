"""Days of lost machines with real processes; ``core_loss_soak.py`` plays more of them by hand."""

from core_loss_days import OLD_LEADER_SECONDS, LossKind, WipedVoter, day_of
from core_loss_soak import play_days

SECONDS = 3.0
"""Time for which a fleet goes on after the last loss."""

SEEDS = (1, 10, 33)
"""Days with one round each: a follower or the leader loses its disk, killed and silent machines."""


def test_acknowledged_configurations_survive_a_lost_machine_and_then_a_lost_disk() -> None:
    """Guards against a leader older than a minute that never replaces a lost voter.

    The days are played side by side, because each waits until its leader is old.
    """
    for played in play_days(SEEDS, SECONDS, len(SEEDS)):
        assert played.problems == [], "\n".join(played.timeline)
        assert played.counts["statuses"]["200"] > 100
        assert played.counts["acknowledged"] > 1


def test_the_days_differ_in_who_is_lost_how_and_whose_disk_is_lost_afterwards() -> None:
    days = [day_of(seed) for seed in range(36)]
    first_losses = {(day.rounds[0].losses[0], day.rounds[0].wiped) for day in days}
    assert len(first_losses) == 36
    for day in days:
        for one in day.rounds:
            assert one.leader_age_seconds >= OLD_LEADER_SECONDS
    assert {day.rounds[0].losses[0].kind for day in days} == set(LossKind)
    assert {day.rounds[0].wiped for day in days} == set(WipedVoter)


def test_the_days_of_the_short_run_have_one_round_each() -> None:
    assert [len(day_of(seed).rounds) for seed in SEEDS] == [1] * len(SEEDS)
