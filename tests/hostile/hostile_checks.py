"""What is checked of a fleet while a crowd has its connections open, and afterwards."""

from hostile_fleet import MAX_BODY_BYTES, READY_PORT, HostileFleet, document

from crowds import Crowd, Sending


async def check_crowd(fleet: HostileFleet, port: int, sending: Sending, members: int) -> None:
    """Check that the fleet is unharmed and serves while a crowd has its connections open."""
    crowd = Crowd(fleet.host, port, members, sending)
    try:
        await crowd.send()
        fleet.assert_unharmed()
        await fleet.request_until_served()
        await fleet.call("GET", "/ready", b"", {}, READY_PORT, until=200)
        await fleet.call("PUT", "/config", document(2), {"If-Match": "1"}, until=200)
        fleet.assert_unharmed()
    finally:
        await crowd.leave()
    await fleet.request_until_served(bytes(MAX_BODY_BYTES))
    fleet.assert_unharmed()
