"""Complete requests to a control process: what it sends, decodes and keeps has bounds as well.

The crowds and the bounds are fixed; the bounds are those of a deployment's machine. Run these tests
one at a time, apart from other load (``make hostile``).
"""

from pathlib import Path

import pytest
from hostile_checks import check_crowd
from hostile_fleet import CONTROL_PORT, READY_PORT, document, running_fleet

from crowds import Crowd, complete_body, registrations, request_without_body

MEMBERS = 100
MANY_MEMBERS = 900
"""Members of a crowd just below the number of connections that a control process keeps."""

LARGE_DOCUMENT_BYTES = 7_900_000
"""Size of a configuration that the log still takes, just under the limit on a body."""

LARGE_READS = {"config": "/config", "configuration": "/v1/configuration"}

REGISTRATIONS = {
    "large": registrations(requests=6, models=8_000, model_name="m"),
    "small": registrations(requests=300, models=1, model_name="m"),
    "just_within_the_limits": registrations(requests=60, models=32, model_name="m" * 62),
}


@pytest.mark.parametrize("members", [MEMBERS, MANY_MEMBERS])
@pytest.mark.parametrize("path", LARGE_READS)
async def test_a_crowd_that_reads_no_response(tmp_path: Path, path: str, members: int) -> None:
    """Guards against a control process that runs out of memory over responses nobody reads."""
    async with running_fleet(tmp_path) as fleet:
        large = document(2, LARGE_DOCUMENT_BYTES)
        await fleet.call("PUT", "/config", large, {"If-Match": "1"}, until=200)
        sending = request_without_body("GET", LARGE_READS[path])
        crowd = Crowd(fleet.host, CONTROL_PORT, members, sending, reads=False)
        try:
            await crowd.send()
            fleet.assert_unharmed()
            assert await fleet.read_configuration() == large
            await fleet.request_until_served()
            await fleet.call("GET", "/ready", b"", {}, READY_PORT, until=200)
            await fleet.call("PUT", "/config", document(3), {"If-Match": "2"}, until=200)
            fleet.assert_unharmed()
        finally:
            await crowd.leave()
        assert await fleet.read_configuration() == document(3)
        fleet.assert_unharmed()


async def test_a_crowd_of_equal_complete_updates(tmp_path: Path) -> None:
    """Guards against a control process that runs out of memory over valid, large updates."""
    async with running_fleet(tmp_path) as fleet:
        large = document(2, LARGE_DOCUMENT_BYTES)
        crowd = Crowd(fleet.host, CONTROL_PORT, MEMBERS, complete_body("PUT", "/config", large))
        try:
            await crowd.send()
            fleet.assert_unharmed()
            await fleet.call("PUT", "/config", large, {"If-Match": "1"}, until=200)
            assert await fleet.read_configuration() == large
            await fleet.request_until_served()
            fleet.assert_unharmed()
        finally:
            await crowd.leave()
        await fleet.call("PUT", "/config", document(3), {"If-Match": "2"}, until=200)
        fleet.assert_unharmed()


@pytest.mark.parametrize("crowd", REGISTRATIONS)
async def test_a_crowd_of_registrations(tmp_path: Path, crowd: str) -> None:
    """Guards against processes that run out of memory over workers that nobody has started."""
    async with running_fleet(tmp_path) as fleet:
        await check_crowd(fleet, CONTROL_PORT, REGISTRATIONS[crowd], MEMBERS)


async def test_a_crowd_that_reads_no_list_of_many_workers(tmp_path: Path) -> None:
    """Guards against lists that are made for each caller, as long as the largest fleet's."""
    async with running_fleet(tmp_path) as fleet:
        workers = REGISTRATIONS["just_within_the_limits"]
        registering = Crowd(fleet.host, CONTROL_PORT, MEMBERS, workers)
        sending = request_without_body("GET", "/v1/workers")
        reading = Crowd(fleet.host, CONTROL_PORT, MEMBERS, sending, reads=False)
        try:
            await registering.send()
            await reading.send()
            fleet.assert_unharmed()
            await fleet.request_until_served()
            await fleet.call("PUT", "/config", document(2), {"If-Match": "1"}, until=200)
            fleet.assert_unharmed()
        finally:
            await reading.leave()
            await registering.leave()
        await fleet.request_until_served()
        fleet.assert_unharmed()
