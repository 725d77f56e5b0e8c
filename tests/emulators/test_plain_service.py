"""The emulated plain service over loopback."""

import asyncio

import aiohttp
import msgspec
import pytest
from emulator_harness import backend_client, make_service, running

from orchidpath.emulators.backend.answers import is_expected_call_body
from orchidpath.emulators.backend.injected_faults import FaultKind
from orchidpath.emulators.backend.reports import ExecutionList
from orchidpath.wire.backend import CallReply, ErrorCode, Ran


async def test_a_call_is_answered_once() -> None:
    async with running(make_service()) as service, backend_client() as client:
        answers = await asyncio.gather(*(client.call(service, "r", "a") for _ in range(5)))
        good = [answer for answer in answers if answer.status == 200]
        assert len(good) == 1
        reply = good[0].decode(CallReply)
        assert (good[0].attempt_header, reply.attempt_id) == ("a", "a")
        assert is_expected_call_body(bytes(reply.body), "r", "GET", "/stock/7")
        rejected = [answer.error for answer in answers if answer.status != 200]
        assert {error.code for error in rejected} == {ErrorCode.ATTEMPT_REFUSED}
        assert Ran.NO not in {error.ran for error in rejected}
        assert (await client.status(service)).max_executions_by_request == 1


async def test_a_repeat_under_another_attempt_is_counted() -> None:
    async with running(make_service()) as service, backend_client() as client:
        await client.call(service, "r", "a")
        await client.call(service, "r", "b")
        report = await client.status(service)
        assert report.max_executions_by_request == 2
        assert report.repeated_requests == ("r",)
        async with client.session.get(f"{service.url}/v1/executions?after=1") as response:
            listed = msgspec.json.decode(await response.read(), type=ExecutionList)
        assert [(record.number, record.attempt_id) for record in listed.executions] == [(2, "b")]


async def test_overload_is_rejected_with_a_not_executed_guarantee() -> None:
    slow = make_service(30.0, max_in_flight=1)
    async with running(slow) as service, backend_client() as client:
        first = asyncio.create_task(client.call(service, "r", "a"))
        while (await client.status(service)).executions == 0:
            await asyncio.sleep(0)
        second = await client.call(service, "q", "b")
        assert (second.status, second.error.code) == (503, ErrorCode.OVERLOADED)
        assert (second.error.ran, second.error.retry_after_seconds) == (Ran.NO, None)
        first.cancel()


async def test_faults_of_a_call() -> None:
    async with running(make_service()) as service, backend_client() as client:
        await client.inject(service, FaultKind.FAIL_NEXT, count=1)
        assert (await client.call(service, "r", "a")).error.ran is Ran.UNKNOWN
        await client.inject(service, FaultKind.WRONG_ATTEMPT_ECHO, count=1)
        wrong_echo = await client.call(service, "r", "b")
        assert wrong_echo.attempt_header == "b-other"
        body = bytes(wrong_echo.decode(CallReply).body)
        assert not is_expected_call_body(body, "r", "GET", "/stock/7")
        await client.inject(service, FaultKind.TRUNCATE, count=1)
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await client.call(service, "r", "c")
        await client.inject(service, FaultKind.DRAIN)
        assert (await client.call(service, "r", "d")).error.code is ErrorCode.DRAINING
        await client.inject(service, FaultKind.RESUME)
        assert (await client.call(service, "r", "e")).status == 200
