"""Runner of every deployed process: signals, graceful shutdown, reload and exit code."""

import asyncio
import contextlib
import os
import signal
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import IntEnum
from typing import Any, Generic, TypeVar

from orchidpath.common.errors import OrchidpathError
from orchidpath.common.logs import Logger, get_logger

STOP_GRACE_SECONDS = 2.0
"""Time beyond the drain time after which a shutdown that has not completed is cancelled."""

CANCEL_GRACE_SECONDS = 0.2
"""Time that a cancelled shutdown has to clean up."""


class ExitCode(IntEnum):
    """Exit codes of every orchidpath command."""

    OK = 0
    FAILED = 1
    INVALID_INPUT = 2
    STOPPED_HARD = 3


SettingsT = TypeVar("SettingsT")


class Daemon(ABC, Generic[SettingsT]):
    """Base class of a long-running process; run a subclass with :func:`run_daemon`."""

    def __init__(self) -> None:
        self._failed: asyncio.Future[OrchidpathError] | None = None
        self._early_failure: OrchidpathError | None = None

    @property
    @abstractmethod
    def drain_seconds(self) -> float:
        """Longest duration of a graceful shutdown, in seconds."""

    @abstractmethod
    async def start(self) -> None:
        """Bind the addresses, start the tasks and return.

        An :class:`OrchidpathError` or :class:`OSError` ends the process with
        :attr:`ExitCode.FAILED`.
        """

    @abstractmethod
    async def stop(self, drain_seconds: float) -> None:
        """Reject new requests, complete those in flight within ``drain_seconds``, and close."""

    @abstractmethod
    async def reload(self, settings: SettingsT) -> None:
        """Apply new, valid settings, except those that can't change in a running process."""

    def fail(self, error: OrchidpathError) -> None:
        """End the process with :attr:`ExitCode.FAILED` after a fault with which it can't serve.

        Only the first error is reported.
        """
        self._early_failure = self._early_failure or error
        if self._failed is not None and not self._failed.done():
            self._failed.set_result(error)

    async def failure(self) -> OrchidpathError:
        """Wait until :meth:`fail` is called and return its error."""
        if self._failed is None:
            self._failed = asyncio.get_running_loop().create_future()
        if self._early_failure is not None:
            return self._early_failure
        return await asyncio.shield(self._failed)


SETTINGS_POLL_SECONDS = 1.0
"""Time between two checks for settings that have changed without a signal."""


def run_daemon(
    daemon: Daemon[SettingsT],
    load_settings: Callable[[], SettingsT],
    settings_stamp: Callable[[], object] | None = None,
) -> int:
    """Run a daemon until SIGTERM or SIGINT stops it, or until it fails.

    A SIGINT during the graceful shutdown cancels it; a repeated SIGTERM does not.

    Parameters
    ----------
    daemon
        The process to run.
    load_settings
        Reads the settings again on SIGHUP. If it raises an :class:`OrchidpathError`, the current
        settings remain in effect and the error is logged.
    settings_stamp
        Returns a value that changes when the settings change, such as a file's modification time;
        the settings are then read again without a signal.

    Returns
    -------
    int
        The exit code.
    """
    return asyncio.run(_serve_process(daemon, load_settings, settings_stamp))


async def _serve_process(
    daemon: Daemon[SettingsT],
    load_settings: Callable[[], SettingsT],
    settings_stamp: Callable[[], object] | None,
) -> int:
    exit_code = await serve(daemon, load_settings, settings_stamp)
    if exit_code == ExitCode.STOPPED_HARD:
        # asyncio.run would wait for the tasks that did not end in time. An immediate exit is safe,
        # because data is synced to disk before it is acknowledged.
        os._exit(exit_code)
    return exit_code


async def serve(
    daemon: Daemon[SettingsT],
    load_settings: Callable[[], SettingsT],
    settings_stamp: Callable[[], object] | None = None,
) -> int:
    """Run a daemon inside a running event loop; see :func:`run_daemon`."""
    shell = _Shell(daemon, load_settings, settings_stamp)
    shell.install_signal_handlers()
    try:
        return await shell.run()
    finally:
        shell.remove_signal_handlers()


class _Shell(Generic[SettingsT]):
    """One run of a daemon: handles its signals and determines its exit code."""

    def __init__(
        self,
        daemon: Daemon[SettingsT],
        load_settings: Callable[[], SettingsT],
        settings_stamp: Callable[[], object] | None,
    ) -> None:
        self._daemon = daemon
        self._load_settings = load_settings
        self._settings_stamp = settings_stamp
        self._logger: Logger = get_logger("daemon")
        self._stop_requested = asyncio.Event()
        self._hard_stop_requested = asyncio.Event()
        self._reload_requested = asyncio.Event()

    def install_signal_handlers(self) -> None:
        self._former_reload_handler = signal.getsignal(signal.SIGHUP)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._on_interrupt)
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)

    def remove_signal_handlers(self) -> None:
        """Handle each signal as before; a process that ignored SIGHUP ignores it again."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)
        signal.signal(signal.SIGHUP, self._former_reload_handler)

    def _on_interrupt(self) -> None:
        """Stop, or stop at once if the shutdown has begun.

        SIGTERM never does the latter: a supervisor may repeat it, and the requests in flight must
        still be completed.
        """
        if self._stop_requested.is_set():
            self._hard_stop_requested.set()
        self._stop_requested.set()

    async def run(self) -> int:
        failure = asyncio.ensure_future(self._daemon.failure())
        try:
            await self._daemon.start()
        except (OrchidpathError, OSError) as error:
            self._logger.error("start_failed", error=str(error), kind=type(error).__name__)
            failure.cancel()
            return ExitCode.FAILED
        self._logger.info("started")
        background = [
            asyncio.ensure_future(self._reload_forever()),
            asyncio.ensure_future(self._watch_settings()),
        ]
        try:
            await self._wait_for_end(failure)
            return await self._finish(failure)
        finally:
            for task in background:
                task.cancel()
            failure.cancel()

    async def _wait_for_end(self, failure: asyncio.Future[OrchidpathError]) -> None:
        stopping = asyncio.ensure_future(self._stop_requested.wait())
        ends: set[asyncio.Future[Any]] = {stopping, failure}
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()

    async def _finish(self, failure: asyncio.Future[OrchidpathError]) -> int:
        exit_code = ExitCode.OK
        if failure.done():
            error = failure.result()
            self._logger.error("failed", error=str(error), kind=type(error).__name__)
            exit_code = ExitCode.FAILED
        drain_seconds = self._daemon.drain_seconds if exit_code is ExitCode.OK else 0.0
        self._logger.info("stopping", drain_seconds=drain_seconds)
        if not await self._stop(drain_seconds):
            self._logger.warning("stopped_hard")
            return ExitCode.STOPPED_HARD if exit_code is ExitCode.OK else exit_code
        self._logger.info("stopped")
        return exit_code

    async def _stop(self, drain_seconds: float) -> bool:
        stop = asyncio.ensure_future(self._daemon.stop(drain_seconds))
        hard = asyncio.ensure_future(self._hard_stop_requested.wait())
        await asyncio.wait(
            {stop, hard},
            timeout=drain_seconds + STOP_GRACE_SECONDS,
            return_when=asyncio.FIRST_COMPLETED,
        )
        hard.cancel()
        if stop.done():
            stop.result()
            return True
        stop.cancel()
        with contextlib.suppress(asyncio.CancelledError, TimeoutError, OrchidpathError):
            await asyncio.wait_for(stop, CANCEL_GRACE_SECONDS)
        return False

    async def _watch_settings(self) -> None:
        """Request a reload whenever the settings change without a signal."""
        if self._settings_stamp is None:
            return
        last_stamp = self._settings_stamp()
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            stamp = self._settings_stamp()
            if stamp != last_stamp:
                last_stamp = stamp
                self._reload_requested.set()

    async def _reload_forever(self) -> None:
        while True:
            await self._reload_requested.wait()
            self._reload_requested.clear()
            try:
                settings = self._load_settings()
                await self._daemon.reload(settings)
            except OrchidpathError as error:
                self._logger.error("reload_refused", error=str(error))
            else:
                self._logger.info("reloaded")
