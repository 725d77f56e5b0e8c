"""Child processes of the local fleet: started, signalled and ended by their own id only."""

import asyncio
import os
import signal
import sys
from collections.abc import Iterable, Sequence
from contextlib import suppress
from pathlib import Path

from orchidpath.common.errors import OrchidpathError

KILL_WAIT_SECONDS = 5.0
"""Bound on the end of a process after SIGKILL."""

STREAM_LIMIT_BYTES = 16 * 1024 * 1024
"""Longest line that a child may write to its piped standard output."""


class ChildProcess:
    """One child process, which may be started and ended many times.

    Parameters
    ----------
    name
        Name of the process in the fleet.
    arguments
        What follows ``orchidpath`` on the command line.
    log_path
        Takes everything that the child writes; it is appended to.
    pipe_output
        Whether standard output goes to :meth:`read_line` instead.

    Attributes
    ----------
    source_folder
        Folder that holds the package to run, from the next start on; None for the one that this
        process runs. With it, processes of two versions form one fleet.
    """

    def __init__(
        self, name: str, arguments: Sequence[str], log_path: Path, *, pipe_output: bool = False
    ) -> None:
        self.name = name
        self.source_folder: Path | None = None
        self._arguments = tuple(arguments)
        self._log_path = log_path
        self._pipe_output = pipe_output
        self._process: asyncio.subprocess.Process | None = None
        self._end_expected = False

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended; a frozen one is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def ended_by_itself(self) -> bool:
        """Whether the process ended although nothing here ended it."""
        return self._process is not None and not self.is_running and not self._end_expected

    @property
    def exit_code(self) -> int | None:
        """Exit code of the newest start; negative for a signal, None while it is running."""
        return None if self._process is None else self._process.returncode

    def expect_end(self) -> None:
        """Take the end of the process, by whatever cause, as wanted."""
        self._end_expected = True

    async def start(self) -> None:
        """Start the process unless it is running.

        The child gets a session of its own, so that Ctrl-C reaches the fleet's runner alone and
        the runner ends everything in order.
        """
        if self.is_running:
            return
        self._end_expected = False
        with open(self._log_path, "ab") as log:  # noqa: ASYNC230 - a local file, opened once
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "orchidpath",
                *self._arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if self._pipe_output else log,
                stderr=log,
                start_new_session=True,
                limit=STREAM_LIMIT_BYTES,
                env=self._environment(),
            )

    def _environment(self) -> dict[str, str]:
        environment = dict(os.environ)
        if self.source_folder is not None:
            environment["PYTHONPATH"] = str(self.source_folder)
        return environment

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._process is None or not self.is_running:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._end_expected = True
        with suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def read_line(self) -> bytes:
        """Return the next line of the piped standard output; empty at its end."""
        if self._process is None or self._process.stdout is None:
            return b""
        return await self._process.stdout.readline()

    async def wait(self, timeout_seconds: float) -> bool:
        """Wait for the end of the process; returns whether it has ended."""
        if self._process is None:
            return True
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._process.wait()
        return not self.is_running

    async def kill(self) -> None:
        """End the process at once and wait for its end."""
        self.signal(signal.SIGKILL)
        if not await self.wait(KILL_WAIT_SECONDS):
            raise ChildNotEndedError(f"{self.name} did not end after SIGKILL")

    async def stop(self, timeout_seconds: float) -> None:
        """End the process politely, and hard when that takes too long."""
        # A frozen process can't act on SIGTERM until it is woken.
        self.signal(signal.SIGTERM)
        self.signal(signal.SIGCONT)
        if not await self.wait(timeout_seconds):
            await self.kill()


class ChildNotEndedError(OrchidpathError):
    """A child process is still there after SIGKILL."""


async def stop_all(children: Iterable[ChildProcess], timeout_seconds: float) -> None:
    """Stop processes side by side; see :meth:`ChildProcess.stop`."""
    await asyncio.gather(*(child.stop(timeout_seconds) for child in children))
