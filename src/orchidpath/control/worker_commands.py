"""Sends commands to workers over HTTP and reports their replies.

If a command or its reply is lost, the command is repeated with a higher sequence, and the worker's
fencing token makes it reject a command that arrives late (docs/design/plans.md).
"""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from orchidpath.wire.backend import WorkerCommand, WorkerCommandReply

WORKER_COMMAND_TIMEOUT_SECONDS = 2.0
"""Bound on a worker's reply to a command."""

COMMANDS_PATH = "/v1/orders"
"""Path to which commands are posted, relative to a worker's base address."""

AnswerHandler = Callable[[WorkerCommand, WorkerCommandReply | None], None]


class WorkerCommandFormat:
    """Encoding of a command and decoding of its reply; the default is orchidpath's own form."""

    path = COMMANDS_PATH

    def headers(self, command: WorkerCommand) -> dict[str, str]:
        """Return the HTTP headers of a command."""
        return {}

    def body(self, command: WorkerCommand) -> bytes:
        """Return the HTTP body of a command."""
        return msgspec.json.encode(command)

    def read_reply(self, command: WorkerCommand, status: int, body: bytes) -> WorkerCommandReply:
        """Return a worker's reply, decoded from its HTTP status and body.

        Raises
        ------
        msgspec.MsgspecError, ValueError
            The response is not a reply to a command.
        """
        return msgspec.json.decode(body, type=WorkerCommandReply)


class WorkerCommandSender:
    """Posts each command in a task of its own.

    Parameters
    ----------
    on_answer
        Called with each command and its reply, or None if no usable reply arrived in time.
    command_format
        Encoding of commands; by default orchidpath's own form.
    """

    def __init__(
        self, on_answer: AnswerHandler, command_format: WorkerCommandFormat | None = None
    ) -> None:
        self._on_answer = on_answer
        self._format = command_format or WorkerCommandFormat()
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, url: str, command: WorkerCommand) -> None:
        """Start sending a command to the worker at a base address and return at once."""
        task = asyncio.create_task(self._post(url, command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel every command that has no reply yet, and close the HTTP session."""
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
                reply = self._format.read_reply(command, response.status, content)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError, ValueError):
            reply = None  # the sender of the command repeats it until it has taken effect
        self._on_answer(command, reply)
