import asyncio
import os
import signal

import pytest

from orchidpath.common.daemon import Daemon, ExitCode, serve
from orchidpath.common.errors import OrchidpathError

BOUND_SECONDS = 5.0


class RecordingDaemon(Daemon[int]):
    def __init__(self) -> None:
        super().__init__()
        self.events: list[str] = []
        self.started = asyncio.Event()
        self.reloads: asyncio.Queue[int] = asyncio.Queue()
        self.start_error: OrchidpathError | None = None
        self.stopping = asyncio.Event()
        self.hold_stop: asyncio.Event | None = None

    @property
    def drain_seconds(self) -> float:
        return 30.0

    async def start(self) -> None:
        if self.start_error is not None:
            raise self.start_error
        self.events.append("start")
        self.started.set()

    async def stop(self, drain_seconds: float) -> None:
        self.events.append(f"stop {drain_seconds}")
        self.stopping.set()
        if self.hold_stop is not None:
            await self.hold_stop.wait()

    async def reload(self, settings: int) -> None:
        self.reloads.put_nowait(settings)


class Loader:
    def __init__(self) -> None:
        self.valid = True
        self.calls: asyncio.Queue[bool] = asyncio.Queue()

    def __call__(self) -> int:
        self.calls.put_nowait(self.valid)
        if not self.valid:
            raise OrchidpathError("not valid")
        return 7


def send(number: signal.Signals) -> None:
    os.kill(os.getpid(), number)


async def test_first_stop_signal_drains() -> None:
    daemon = RecordingDaemon()
    run = asyncio.create_task(serve(daemon, Loader()))
    async with asyncio.timeout(BOUND_SECONDS):
        await daemon.started.wait()
        send(signal.SIGTERM)
        assert await run == ExitCode.OK
    assert daemon.events == ["start", "stop 30.0"]


@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
async def test_an_interrupt_during_the_shutdown_ends_at_once(first: signal.Signals) -> None:
    daemon = RecordingDaemon()
    daemon.hold_stop = asyncio.Event()
    run = asyncio.create_task(serve(daemon, Loader()))
    async with asyncio.timeout(BOUND_SECONDS):
        await daemon.started.wait()
        send(first)
        await daemon.stopping.wait()
        send(signal.SIGINT)
        assert await run == ExitCode.STOPPED_HARD


@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
async def test_a_repeated_sigterm_does_not_cut_the_shutdown_short(first: signal.Signals) -> None:
    """Guards against requests that are cut off when a supervisor repeats its stop signal."""
    daemon = RecordingDaemon()
    daemon.hold_stop = asyncio.Event()
    run = asyncio.create_task(serve(daemon, Loader()))
    async with asyncio.timeout(BOUND_SECONDS):
        await daemon.started.wait()
        send(first)
        await daemon.stopping.wait()
        for _ in range(3):
            send(signal.SIGTERM)
            # The event loop handles the signal in one of its next turns.
            for _ in range(20):
                await asyncio.sleep(0)
            assert not run.done()
        daemon.hold_stop.set()
        assert await run == ExitCode.OK


async def test_reload_applies_valid_settings_and_rejects_invalid_ones() -> None:
    daemon, loader = RecordingDaemon(), Loader()
    run = asyncio.create_task(serve(daemon, loader))
    async with asyncio.timeout(BOUND_SECONDS):
        await daemon.started.wait()
        loader.valid = False
        send(signal.SIGHUP)
        assert await loader.calls.get() is False
        assert daemon.reloads.empty()
        loader.valid = True
        send(signal.SIGHUP)
        assert await daemon.reloads.get() == 7
        send(signal.SIGTERM)
        assert await run == ExitCode.OK


async def test_failure_ends_with_its_exit_code_and_without_draining() -> None:
    daemon = RecordingDaemon()
    run = asyncio.create_task(serve(daemon, Loader()))
    async with asyncio.timeout(BOUND_SECONDS):
        await daemon.started.wait()
        daemon.fail(OrchidpathError("sync failed"))
        assert await run == ExitCode.FAILED
    assert daemon.events == ["start", "stop 0.0"]


async def test_failed_start_never_stops() -> None:
    daemon = RecordingDaemon()
    daemon.start_error = OrchidpathError("address in use")
    async with asyncio.timeout(BOUND_SECONDS):
        assert await serve(daemon, Loader()) == ExitCode.FAILED
    assert daemon.events == []


async def test_sighup_is_handled_as_before_once_the_daemon_has_ended() -> None:
    """Guards against a process that is ended by a change of its settings while it stops."""
    former = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        daemon = RecordingDaemon()
        run = asyncio.create_task(serve(daemon, Loader()))
        async with asyncio.timeout(BOUND_SECONDS):
            await daemon.started.wait()
            send(signal.SIGTERM)
            assert await run == ExitCode.OK
        send(signal.SIGHUP)
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, former)
