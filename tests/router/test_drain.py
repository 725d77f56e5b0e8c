"""Drain of a router: waits until no request is running."""

from orchidpath.router.drain import DrainState


async def test_a_drain_waits_for_the_last_request_up_to_its_timeout() -> None:
    drain = DrainState()
    assert await drain.wait_until_idle(0.0)
    drain.enter()
    drain.begin()
    assert not await drain.wait_until_idle(0.01)
    drain.leave()
    assert await drain.wait_until_idle(0.0)
