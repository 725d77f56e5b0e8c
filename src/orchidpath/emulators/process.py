"""Runs an emulator as a process of its own: the ready line and the signals."""

import asyncio
import os
import signal
from collections.abc import Callable

import msgspec

from orchidpath.emulators.backend.backend_shell import BackendShell
from orchidpath.emulators.client.caller import Callers, CallerSettings
from orchidpath.emulators.client.caller_report import CallerProgress, CallerSummary

EXIT_AT_ONCE_STATUS = 130
"""Exit status after a second signal."""


class ReadyLine(msgspec.Struct, frozen=True, kw_only=True):
    """The line that a back end prints once it listens."""

    ready: str
    url: str
    incarnation: str


def on_stop_signals(stop: Callable[[], None]) -> None:
    """Stop politely at the first SIGTERM or SIGINT and at once at the second.

    Parameters
    ----------
    stop : callable
        Begins the polite stop.
    """
    loop = asyncio.get_running_loop()
    signalled = asyncio.Event()

    def handle() -> None:
        if signalled.is_set():
            os._exit(EXIT_AT_ONCE_STATUS)
        signalled.set()
        stop()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle)


async def run_backend(make: Callable[[], BackendShell], write_line: Callable[[str], None]) -> None:
    """Run a back end until it is signalled.

    Parameters
    ----------
    make : callable
        Makes the back end inside the running loop.
    write_line : callable
        Takes the ready line.
    """
    stopped = asyncio.Event()
    on_stop_signals(stopped.set)
    backend = make()
    url = await backend.start()
    record = backend.core.record
    line = ReadyLine(ready=record.worker_id, url=url, incarnation=record.incarnation)
    write_line(msgspec.json.encode(line).decode())
    await stopped.wait()
    await backend.drain_and_stop()


async def run_callers(
    settings: CallerSettings, on_progress: Callable[[CallerProgress], None]
) -> CallerSummary:
    """Run callers until their time is over or they are signalled, and return the summary."""
    callers = Callers(settings, on_progress)
    on_stop_signals(callers.stop)
    return await callers.run()
