"""Emulators as separate processes: ready line and signal handling."""

import asyncio
import os
import signal
from collections.abc import Callable

import msgspec

from orchidpath.emulators.backend.backend_shell import BackendShell
from orchidpath.emulators.client.caller import Callers, CallerSettings
from orchidpath.emulators.client.caller_report import CallerProgress, CallerSummary

EXIT_AT_ONCE_STATUS = 130
"""Exit status after a second stop signal."""


class ReadyLine(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON line that a back end prints once it listens."""

    ready: str
    url: str
    incarnation: str


def on_stop_signals(stop: Callable[[], None]) -> None:
    """Stop gracefully on the first SIGTERM or SIGINT; exit immediately on the second.

    Parameters
    ----------
    stop : callable
        Starts the graceful stop.
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
    """Run a back end until a stop signal, then drain and stop it.

    Parameters
    ----------
    make : callable
        Creates the back end; called inside the running event loop.
    write_line : callable
        Called with the ready line.
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
    """Run callers until their time is over or a stop signal arrives; return the summary."""
    callers = Callers(settings, on_progress)
    on_stop_signals(callers.stop)
    return await callers.run()
