"""Sends workers their commands over HTTP and passes the answers on.

A lost command or answer does no harm: the command is repeated with a higher sequence, and the
worker's fence rejects whatever arrives late (docs/design/plans.md).
"""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from orchidpath.wire.backend import WorkerCommand, WorkerCommandReply

WORKER_COMMAND_TIMEOUT_SECONDS = 2.0
"""Bound on a worker's answer to a command."""

COMMANDS_PATH = "/v1/orders"
"""Path of commands below a worker's base address."""

AnswerHandler = Callable[[WorkerCommand, WorkerCommandReply | None], None]


class WorkerCommandFormat:
    """How a command is written to a worker, and how its answer is read; the product's own form."""

    path = COMMANDS_PATH

    def headers(self, command: WorkerCommand) -> dict[str, str]:
        """Return the headers of a command."""
        return {}

    def body(self, command: WorkerCommand) -> bytes:
        """Return the body of a command."""
        return msgspec.json.encode(command)

    def read_answer(self, command: WorkerCommand, status: int, body: bytes) -> WorkerCommandReply:
        """Return what a worker answered.

        Raises
        ------
        msgspec.MsgspecError, ValueError
            It is not an answer to a command.
        """
        return msgspec.json.decode(body, type=WorkerCommandReply)


class WorkerCommandSender:
    """Posts commands, each in a task of its own.

    Parameters
    ----------
    on_answer
        Told each command's answer, or None when there was none in time.
    command_format
        How commands are written.
    """

    def __init__(
        self, on_answer: AnswerHandler, command_format: WorkerCommandFormat | None = None
    ) -> None:
        self._on_answer = on_answer
        self._format = command_format or WorkerCommandFormat()
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, url: str, command: WorkerCommand) -> None:
        """Send a command to the worker at a base address; returns at once."""
        task = asyncio.create_task(self._post(url, command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Give up every command that is on its way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _post(self, url: str, command: WorkerCommand) -> None:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=WORKER_COMMAND_TIMEOUT_SECONDS)
            self._session = aiohttp.ClientSession(timeout=timeout)
        reply: WorkerCommandReply | None = None
        try:
            posted = self._session.post(
                url + self._format.path,
                data=self._format.body(command),
                headers=self._format.headers(command),
            )
            async with posted as response:
                content = await response.read()
                reply = self._format.read_answer(command, response.status, content)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError, ValueError):
            reply = None  # the driver repeats the command until it has had its effect
        self._on_answer(command, reply)
