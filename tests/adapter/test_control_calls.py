"""Calls of operators and workers to the control processes of the emulated platform."""

import asyncio
import json
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from platform_environment import (
    WAIT_SECONDS,
    EmulatedWorker,
    PlatformEnvironment,
    document,
    running,
    stock,
)
from yarl import URL

from orchidpath.state import commands


async def test_of_racing_updates_one_is_accepted_and_every_machine_serves_it(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as environment:
        first = document(2)
        assert await environment.get_configuration(1) == first
        repeated = await environment.put_configuration(first, 0, number=2)
        assert repeated.status == 200
        second, rival = document(5), document(5, note="another one")
        answers = await asyncio.gather(
            environment.put_configuration(second, 2, number=0),
            environment.put_configuration(rival, 2, number=1),
        )
        assert sorted(answer.status for answer in answers) == [200, 412]
        winner = second if answers[0].status == 200 else rival
        for number in range(3):
            assert await environment.get_configuration(number) == winner


INVALID: list[dict[str, Any]] = [
    {"routes": [{"name": "r", "hostname": "h", "path_prefix": "/a/", "timeout_ms": 1}]},
    {"routes": json.loads(document(1))["routes"] * 2},
    {"services": []},
    {"version": 2},
    {"version": 1},
    {"version": "three"},
    {"limits": {"max_header_bytes": 0}},
]


async def test_invalid_configurations_have_no_effect(tmp_path: Path) -> None:
    async with running(tmp_path) as environment:
        routes = json.loads(document(1))["routes"]
        no_timeout = [{**routes[0], "timeout_ms": 0}]
        no_weight = [{**routes[1], "traffic_split": [{"service": "wine-llm", "weight": 0}]}]
        changes = [*INVALID, {"routes": no_timeout}, {"routes": no_weight}]
        for change in changes:
            response = await environment.put_configuration(document(**{"version": 7, **change}), 2)
            assert response.status == 400, change
        assert (await environment.put_configuration(document(7)[:-20], 2)).status == 400
        assert (await environment.put_configuration(document(7), 1)).status == 412
        assert await environment.get_configuration(0) == document(2)


def change(version: int, **lists: Any) -> bytes:
    return json.dumps({"version": version, **lists}).encode()


async def test_items_of_the_configuration_are_changed_by_name(tmp_path: Path) -> None:
    routes = json.loads(document(1))["routes"]
    added = {**routes[0], "name": "again", "path_prefix": "/again/"}
    (worker,) = stock("s1")
    async with running(tmp_path, worker) as environment:
        await environment.request_until_served("/stock/x")
        first = change(5, upsert={"routes": [added]}, remove={"routes": ["stock"]})
        rival = document(6)
        answers = await asyncio.gather(
            environment.patch_configuration(first, 2, number=0),
            environment.put_configuration(rival, 2, number=1),
        )
        assert sorted(answer.status for answer in answers) == [200, 412]
        if answers[0].status != 200:
            first = change(7, upsert={"routes": [added]}, remove={"routes": ["stock"]})
            assert (await environment.patch_configuration(first, 6)).status == 200
        accepted_version = json.loads(first)["version"]
        response, _ = await environment.request("/stock/x")
        assert response.status == 404
        response, body = await environment.request("/again/x")
        assert (response.status, body) == (200, b"stock")
        changed = json.loads(await environment.get_configuration(2))
        assert changed == {**json.loads(document(accepted_version)), "routes": [routes[1], added]}
        base = 2 if accepted_version == 5 else 6
        assert (await environment.patch_configuration(first, base, number=2)).status == 200
        assert json.loads(await environment.get_configuration(1)) == changed


@pytest.mark.parametrize("match", ["", "two", "-2", "2.0", "\u00b2", "\u0662", "2" * 5000])
async def test_a_malformed_base_version_is_rejected(tmp_path: Path, match: str) -> None:
    """Guards against status 500, after which an operator sends the same call again and again."""
    async with running(tmp_path, machines=1) as environment:
        url = environment.control_url(0) + "/config"
        async with aiohttp.ClientSession() as session:
            headers = {"If-Match": match}
            response = await session.put(url, data=document(7), headers=headers)
            assert (response.status, await response.json()) == (
                400,
                {"reason": "If-Match must be a version"},
            )


INVALID_CHANGES: list[dict[str, Any]] = [
    {"remove": {"routes": ["nowhere"]}},
    {"remove": {"services": ["stock-api"]}},
    {"upsert": {"routes": [{"name": "r", "hostname": "h", "path_prefix": "/a/"}]}},
    {"upsert": {"routes": [{**json.loads(document(1))["routes"][0], "name": "twin"}]}},
    {"upsert": {"routes": [{**json.loads(document(1))["routes"][0], "timeout_ms": 0}]}},
    {"version": 2},
    {"version": "three"},
    {"upsert": ["routes"]},
]


async def test_invalid_changes_have_no_effect(tmp_path: Path) -> None:
    async with running(tmp_path) as environment:
        for invalid in INVALID_CHANGES:
            response = await environment.patch_configuration(change(**{"version": 7, **invalid}), 2)
            assert response.status == 400, invalid
            assert (await response.json())["reason"], invalid
        both = change(7, remove={"routes": ["nowhere", "nor here"]})
        reason = (await (await environment.patch_configuration(both, 2)).json())["reason"]
        assert "nowhere" in reason
        assert "nor here" in reason
        assert (await environment.patch_configuration(change(7)[:-2], 2)).status == 400
        assert (await environment.patch_configuration(change(7), 1)).status == 412
        assert await environment.get_configuration(0) == document(2)


async def _drain_or_delete_worker(
    environment: PlatformEnvironment, worker: EmulatedWorker, ending: str
) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            if ending == "draining":
                status = await environment.send_heartbeat(worker, "draining", number=1)
            else:
                status = await environment.delete(worker, number=1)
            if status == 200:
                return


@pytest.mark.parametrize("ending", ["draining", "deleted"])
async def test_an_acknowledged_draining_or_removal_is_effective_on_every_router(
    tmp_path: Path, ending: str
) -> None:
    workers = stock("s1", "s2")
    async with running(tmp_path, *workers) as environment:
        await environment.request_until_served("/stock/")
        environment.without_heartbeats.add("s1")
        await _drain_or_delete_worker(environment, workers[0], ending)
        # The platform allows two seconds for this; the lease of every router is shorter.
        await asyncio.sleep(1.7)
        workers[0].arrivals.clear()
        for number in range(12):
            response, _ = await environment.request("/stock/", number % 3)
            assert response.status == 200
        assert workers[0].arrivals == []


@pytest.mark.parametrize("ending", ["draining", "deleted"])
async def test_a_late_heartbeat_does_not_make_a_worker_available_again(
    tmp_path: Path, ending: str
) -> None:
    workers = stock("s1", "s2")
    async with running(tmp_path, *workers) as environment:
        await environment.request_until_served("/stock/")
        environment.without_heartbeats.add("s1")
        late = workers[0].heartbeat()
        await _drain_or_delete_worker(environment, workers[0], ending)
        for _ in range(6):
            # The leases of all routers expire within these 1.8 seconds. A draining worker continues
            # to send heartbeats, so that its lease does not expire.
            await asyncio.sleep(0.3)
            if ending == "draining":
                await environment.send_heartbeat(workers[0], "draining")
        workers[0].arrivals.clear()
        # If the late heartbeat made the worker available, it would be available until its lease
        # expires, and some of these requests would reach it.
        for _ in range(4):
            for number in range(3):
                await environment.put_instance(workers[0], late, number)
                response, _body = await environment.request("/stock/", number)
                assert response.status == 200
            await asyncio.sleep(0.1)
        assert workers[0].arrivals == []


async def test_a_late_heartbeat_does_not_return_a_worker_that_was_silent_and_then_left(
    tmp_path: Path,
) -> None:
    """Guards against requests to a worker that left after it had been removed for silence."""
    workers = stock("s1", "s2")
    async with running(tmp_path, *workers) as environment:
        await environment.request_until_served("/stock/")
        environment.without_heartbeats.add("s1")
        late = workers[0].heartbeat()
        async with asyncio.timeout(WAIT_SECONDS):
            while "s1" in await environment.registered_workers():
                await asyncio.sleep(0.1)
        assert await environment.delete(workers[0]) == 200
        workers[0].arrivals.clear()
        for _ in range(4):
            for number in range(3):
                await environment.put_instance(workers[0], late, number)
                response, _body = await environment.request("/stock/", number)
                assert response.status == 200
            await asyncio.sleep(0.1)
        assert workers[0].arrivals == []


async def test_a_machine_without_a_confirmed_leader_answers_reads_with_503(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as environment:
        assert (await environment.read_configuration(0)).status == 200
        await environment.stop_control(1)
        await environment.stop_control(2)
        async with asyncio.timeout(WAIT_SECONDS):
            # A leader serves reads until its lease expires; until then nothing newer is confirmed.
            while (await environment.read_configuration(0)).status == 200:
                await asyncio.sleep(0.05)
        for _ in range(3):
            assert (await environment.read_configuration(0)).status == 503


async def test_acknowledgements_to_workers_are_short_and_contain_no_address(
    tmp_path: Path,
) -> None:
    """The platform rejects acknowledgements over 4 KiB.

    They contain no address, because the process at that address may fail later.
    """
    (worker,) = stock("s1")
    async with running(tmp_path, worker) as environment:
        await environment.request_until_served("/stock/")
        for number in range(3):
            url = f"{environment.control_url(number)}/instances/s1"
            async with aiohttp.ClientSession() as session:
                answer = await session.put(url, json=worker.heartbeat())
                content = await answer.read()
        assert answer.status == 200
        assert len(content) <= 4096
        assert json.loads(content) == {}


DATE_VERSION = 20261204093000123456
"""2026-12-04 09:30:00.123456 as a number, which is above 2**64 - 1."""


async def submit_everywhere(environment: PlatformEnvironment, body: bytes, match: int) -> list[int]:
    """Send an update to every machine, so to the leader too, and return the statuses."""
    return [
        (await environment.put_configuration(body, match, number)).status for number in range(3)
    ]


def failed_controls(environment: PlatformEnvironment) -> list[int]:
    """Return the numbers of the machines whose control process has ended by itself."""
    return [
        number for number, control in enumerate(environment.controls) if control._tasks[0].done()
    ]


async def test_a_version_of_more_than_64_bits_is_accepted_and_no_process_ends(
    tmp_path: Path,
) -> None:
    """Guards against a leader that ends when it appends a version that msgpack can't represent."""
    (worker,) = stock("s1")
    async with running(tmp_path, worker) as environment:
        assert await submit_everywhere(environment, document(DATE_VERSION), 2) == [200, 200, 200]
        assert failed_controls(environment) == []
        for number in range(3):
            assert await environment.get_configuration(number) == document(DATE_VERSION)
        smaller = document(DATE_VERSION - 1)
        assert await submit_everywhere(environment, smaller, DATE_VERSION) == [400, 400, 400]
        later = change(10**25, remove={"routes": ["advice"]})
        assert (await environment.patch_configuration(later, DATE_VERSION)).status == 200
        assert json.loads(await environment.get_configuration(1))["version"] == 10**25
        assert await environment.request_until_served("/stock/x") == b"stock"


@pytest.mark.parametrize("sequence", [-1, 2**63 - 1, 2**64, DATE_VERSION, 10**30])
async def test_a_heartbeat_with_a_sequence_out_of_range_is_rejected_and_no_process_ends(
    tmp_path: Path, sequence: int
) -> None:
    """Guards against a leader that ends when it appends a sequence that msgpack can't represent."""
    (worker,) = stock("s1")
    async with running(tmp_path, worker) as environment:
        newcomer = EmulatedWorker("s2", "stock-api")
        await newcomer.start()
        try:
            heartbeat = {**newcomer.heartbeat(), "seq": sequence}
            for number in range(3):
                assert await environment.put_instance(newcomer, heartbeat, number) == 400
            assert failed_controls(environment) == []
            assert await environment.request_until_served("/stock/x") == b"stock"
        finally:
            await newcomer.stop()


async def test_a_configuration_too_large_for_the_log_is_rejected_and_no_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a committed configuration that no replica can decode."""
    monkeypatch.setattr(commands, "MAX_COMMAND_BYTES", 60_000)
    monkeypatch.setattr(commands, "MAX_NEW_COMMAND_BYTES", 50_000, raising=False)
    names = [service["name"] for service in json.loads(document(1))["services"]]
    services = [*json.loads(document(1))["services"], *({"name": f"s{n}"} for n in range(500))]
    too_large = document(7, services=services)
    added = change(8, upsert={"services": services[len(names) :]})
    async with running(tmp_path) as environment:
        assert await submit_everywhere(environment, too_large, 2) == [413, 413, 413]
        response = await environment.patch_configuration(added, 2)
        assert response.status == 413
        assert "50000 bytes" in (await response.json())["reason"]
        assert failed_controls(environment) == []
        assert (await environment.put_configuration(document(9), 2)).status == 200


INVALID_HEARTBEATS: list[tuple[str, dict[str, Any]]] = [
    ("address", {"address": "nowhere"}),
    ("address", {"address": "worker.example:80"}),
    ("address", {"address": "127.0.0.1:99999"}),
    ("address", {"address": "127.0.0.1:" + "9" * 5000}),
    ("service", {"service": ""}),
    ("service", {"service": "s" * 201}),
    ("stage", {"stage": "other"}),
    ("zone", {"zone": "z" * 201}),
    ("models", {"models": [{"name": f"m{number}"} for number in range(33)]}),
    ("models", {"models": [{"name": "m" * 2049}]}),
    ("seq", {"seq": "1"}),
]


@pytest.mark.parametrize(("field", "fields"), INVALID_HEARTBEATS)
async def test_a_heartbeat_that_no_router_can_use_is_rejected_with_its_field(
    tmp_path: Path, field: str, fields: dict[str, Any]
) -> None:
    """Guards against a worker that gets requests which fail inside the routers."""
    async with running(tmp_path, machines=1) as environment:
        worker = EmulatedWorker("s1", "stock-api")
        worker.address = "127.0.0.1:9"
        url = environment.control_url(0) + "/instances/"
        async with aiohttp.ClientSession() as session:
            invalid = {**worker.heartbeat(), **fields}
            response = await session.put(url + "s1", json=invalid)
            assert response.status == 400
            assert field in (await response.json())["reason"]
            for worker_id in ("%E2%98%83", "a%0D%0Ab", "w" * 201):
                response = await session.put(
                    URL(url + worker_id, encoded=True), json=worker.heartbeat()
                )
                assert response.status == 400
