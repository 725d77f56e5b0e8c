"""When the router's edge tells callers to come back."""

import pytest

from orchidpath.router.proxy.proxy_edge import (
    FIRST_LEASE_SECONDS,
    STARTUP_RETRY_AFTER,
    startup_retry_after_seconds,
)


@pytest.mark.parametrize("share", [0.0, 0.3, 1.0])
@pytest.mark.parametrize("since_start", [0.0, 0.5, 1.9])
def test_nobody_returns_before_a_router_that_has_just_started_can_have_a_lease(
    share: float, since_start: float
) -> None:
    returns_at = since_start + startup_retry_after_seconds(share, since_start)
    assert FIRST_LEASE_SECONDS <= returns_at <= 1.5 * FIRST_LEASE_SECONDS


def test_a_router_that_waits_for_longer_spreads_its_callers() -> None:
    times = {startup_retry_after_seconds(share / 10, 60.0) for share in range(11)}
    assert len(times) == 11
    assert min(times) >= STARTUP_RETRY_AFTER.shortest_seconds
    assert max(times) <= STARTUP_RETRY_AFTER.longest_seconds
