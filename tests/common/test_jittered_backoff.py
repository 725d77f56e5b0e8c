from random import Random

from orchidpath.common.backoff import Backoff


def test_backoff_grows_to_its_cap_and_resets() -> None:
    backoff = Backoff(0.1, 1.0, Random(3))
    for bound in (0.1, 0.2, 0.4, 0.8, 1.0, 1.0):
        assert 0.05 <= backoff.next_delay_seconds() <= bound
    backoff.reset()
    assert backoff.next_delay_seconds() <= 0.1
