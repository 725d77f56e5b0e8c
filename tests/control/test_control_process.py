"""Control processes keep running without a lockable data folder and while the disk is full."""

import asyncio
import errno
import socket
from contextlib import closing

import msgspec
import pytest
from update_builders import configuration_update

from orchidpath.common.settings import ControlSettings
from orchidpath.consensus.files import SimulatedFiles
from orchidpath.control.api.operator_bodies import SubmitResult, SubmitStatus
from orchidpath.control.process import ControlProcess
from orchidpath.state.commands import SubmitConfiguration
from orchidpath.wire.configuration import Configuration

WAIT_SECONDS = 30.0
"""Upper bound of every wait, in seconds; no assertion depends on it."""


def unused_address() -> str:
    with closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def settings(node_id: str, address: str, seed: str) -> ControlSettings:
    return ControlSettings(
        node_id=node_id,
        fleet="f",
        wire_address=address,
        http_address=unused_address(),
        seeds=[seed],
        data_folder="/data",
        formation_members=[seed],
        target_voters=1,
    )


def labelled_update(label: int, base_version: int) -> SubmitConfiguration:
    return configuration_update(f"order-{label}", base_version, Configuration(label=label))


async def submit_until_confirmed(
    process: ControlProcess, update: SubmitConfiguration
) -> SubmitResult:
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            result = await process._access.submit(update)
            if result.status is not SubmitStatus.UNAVAILABLE:
                return result
            await asyncio.sleep(0.1)


async def test_a_process_that_may_not_vote_needs_no_lockable_files() -> None:
    """Guards against a non-voter that fails to start because it locks a file in its data folder.

    Some machines have a data folder on a file system without file locks.
    """

    class NoFiles(SimulatedFiles):
        def lock(self, path: str) -> None:
            raise OSError(errno.EBADF, "file locks are not supported", path)

    voter_address, follower_address = unused_address(), unused_address()
    voter = ControlProcess(settings("v", voter_address, voter_address), files=SimulatedFiles())
    follower_settings = msgspec.structs.replace(
        settings("f", follower_address, voter_address), may_vote=False, formation_members=[]
    )
    follower = ControlProcess(follower_settings, files=NoFiles())
    await voter.start()
    await follower.start()
    try:
        result = await submit_until_confirmed(follower, labelled_update(1, 0))
        assert result.status is SubmitStatus.CONFIRMED
        status = voter._access.status()
        assert len(status.voters) == 1
        assert (await follower._access.read_state()).configuration.label == 1
    finally:
        await follower.stop(0.0)
        await voter.stop(0.0)


async def test_a_full_disk_does_not_end_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("orchidpath.control.process.DISK_FULL_RETRY_SECONDS", 0.05)
    address = unused_address()
    files = SimulatedFiles()
    process = ControlProcess(settings("c", address, address), files=files)
    await process.start()
    try:
        first = await submit_until_confirmed(process, labelled_update(1, 0))
        assert first.status is SubmitStatus.CONFIRMED
        files.capacity_bytes = 0
        pending = asyncio.create_task(process._access.submit(labelled_update(2, 1)))
        await asyncio.wait({pending}, timeout=0.5)
        failure = asyncio.create_task(process.failure())
        await asyncio.wait({failure}, timeout=0.2)
        assert not failure.done(), "the control process failed on a full disk"
        failure.cancel()
        files.capacity_bytes = None
        second = await submit_until_confirmed(process, labelled_update(2, 1))
        assert second.status is SubmitStatus.CONFIRMED
        state = await process._access.read_state()
        assert state.configuration.label == 2
        pending.cancel()
    finally:
        await process.stop(0.0)
