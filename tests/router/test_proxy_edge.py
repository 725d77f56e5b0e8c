"""Retry-After values of a router that has not had a lease since its start."""

import pytest

from orchidpath.router.proxy.proxy_edge import (
    FIRST_LEASE_SECONDS,
    STARTUP_RETRY_AFTER,
    startup_retry_after_seconds,
)


@pytest.mark.parametrize("share", [0.0, 0.3, 1.0])
@pytest.mark.parametrize("since_start", [0.0, 0.5, 1.9])
def test_retry_after_at_startup_covers_the_wait_for_the_first_lease(
    share: float, since_start: float
) -> None:
    retry_at = since_start + startup_retry_after_seconds(share, since_start)
    assert FIRST_LEASE_SECONDS <= retry_at <= 1.5 * FIRST_LEASE_SECONDS


def test_retry_after_is_spread_once_the_first_lease_is_overdue() -> None:
    retry_after_seconds = {startup_retry_after_seconds(share / 10, 60.0) for share in range(11)}
    assert len(retry_after_seconds) == 11
    assert min(retry_after_seconds) >= STARTUP_RETRY_AFTER.shortest_seconds
    assert max(retry_after_seconds) <= STARTUP_RETRY_AFTER.longest_seconds
