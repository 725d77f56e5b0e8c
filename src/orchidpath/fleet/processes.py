"""Child processes of the local fleet.

A process is signalled only by its own process id, so that no other process can be hit.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Iterable, Sequence
from contextlib import suppress
from pathlib import Path

from orchidpath.common.errors import OrchidpathError

KILL_WAIT_SECONDS = 5.0
"""Longest wait for the exit of a process after SIGKILL."""

STREAM_LIMIT_BYTES = 16 * 1024 * 1024
"""Longest line that a child may write to its piped standard output."""


class ChildProcess:
    """One child process, which can be started and stopped any number of times.

    Parameters
    ----------
    name
        Name of the process in the fleet.
    arguments
        Command-line arguments after ``orchidpath``.
    log_path
        File to which the output of the child is appended.
    pipe_output
        Whether standard output is read with :meth:`read_line` instead of going to the log.

    Attributes
    ----------
    source_folder
        Folder with the package that the child runs from its next start; None for the package of
        this process. It allows a fleet with processes of two versions.
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
        self._exit_expected = False

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited; true while it is frozen."""
        return self._process is not None and self._process.returncode is None

    @property
    def exited_unexpectedly(self) -> bool:
        """Whether the process exited without SIGTERM or SIGKILL from this object.

        An exit announced by :meth:`expect_exit` is not unexpected either.
        """
        return self._process is not None and not self.is_running and not self._exit_expected

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last start; negative for a signal, None while the process runs."""
        return None if self._process is None else self._process.returncode

    def expect_exit(self) -> None:
        """Treat the next exit of the process as expected, whatever its cause."""
        self._exit_expected = True

    async def start(self) -> None:
        """Start the process unless it is running.

        The child gets its own session, so that Ctrl-C reaches only the fleet's runner, which stops
        the processes in order.
        """
        if self.is_running:
            return
        self._exit_expected = False
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
            self._exit_expected = True
        with suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def read_line(self) -> bytes:
        """Return the next line of the piped standard output, or empty bytes at its end."""
        if self._process is None or self._process.stdout is None:
            return b""
        return await self._process.stdout.readline()

    async def wait(self, timeout_seconds: float) -> bool:
        """Wait for the exit of the process and return whether it has exited."""
        if self._process is None:
            return True
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._process.wait()
        return not self.is_running

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit of the process.

        Raises
        ------
        ChildNotExitedError
            The process still exists after :data:`KILL_WAIT_SECONDS`.
        """
        self.signal(signal.SIGKILL)
        if not await self.wait(KILL_WAIT_SECONDS):
            raise ChildNotExitedError(
                f"{self.name} did not exit within {KILL_WAIT_SECONDS:.0f} s after SIGKILL"
            )

    async def stop(self, timeout_seconds: float) -> None:
        """Send SIGTERM, and SIGKILL if the process has not exited after the timeout."""
        # A process that is frozen by SIGSTOP handles SIGTERM only after SIGCONT.
        self.signal(signal.SIGTERM)
        self.signal(signal.SIGCONT)
        if not await self.wait(timeout_seconds):
            await self.kill()


class ChildNotExitedError(OrchidpathError):
    """A child process did not exit after SIGKILL."""


async def stop_all(children: Iterable[ChildProcess], timeout_seconds: float) -> None:
    """Stop processes concurrently; see :meth:`ChildProcess.stop`."""
    await asyncio.gather(*(child.stop(timeout_seconds) for child in children))
