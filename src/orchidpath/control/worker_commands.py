"""Sends workers their orders over HTTP and hands the answers back.

A lost order or answer does no harm: the order is repeated with a higher sequence, and the worker's
fence refuses whatever arrives late (docs/design/plans.md).
"""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from orchidpath.wire.backend import WorkerCommand, WorkerCommandReply

WORKER_ORDER_TIMEOUT_SECONDS = 2.0
"""Bound on a worker's answer to an order."""

ORDERS_PATH = "/v1/orders"

AnswerHandler = Callable[[WorkerCommand, WorkerCommandReply | None], None]


class WorkerCommandFormat:
    """How an order is written to a worker, and how its answer is read; the product's own form."""

    path = ORDERS_PATH

    def headers(self, order: WorkerCommand) -> dict[str, str]:
        """Return the headers of an order."""
        return {}

    def body(self, order: WorkerCommand) -> bytes:
        """Return the body of an order."""
        return msgspec.json.encode(order)

    def read_answer(self, order: WorkerCommand, status: int, body: bytes) -> WorkerCommandReply:
        """Return what a worker answered.

        Raises
        ------
        msgspec.MsgspecError, ValueError
            It is no answer to an order.
        """
        return msgspec.json.decode(body, type=WorkerCommandReply)


class WorkerCommandSender:
    """Posts orders, each in a task of its own.

    Parameters
    ----------
    on_answer
        Told each order's answer, or None when there was none in time.
    order_format
        How orders are written.
    """

    def __init__(
        self, on_answer: AnswerHandler, command_format: WorkerCommandFormat | None = None
    ) -> None:
        self._on_answer = on_answer
        self._format = command_format or WorkerCommandFormat()
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, url: str, order: WorkerCommand) -> None:
        """Send an order to the worker at a base address; returns at once."""
        task = asyncio.create_task(self._post(url, order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Give up every order that is on its way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _post(self, url: str, order: WorkerCommand) -> None:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=WORKER_ORDER_TIMEOUT_SECONDS)
            self._session = aiohttp.ClientSession(timeout=timeout)
        reply: WorkerCommandReply | None = None
        try:
            posted = self._session.post(
                url + self._format.path,
                data=self._format.body(order),
                headers=self._format.headers(order),
            )
            async with posted as response:
                content = await response.read()
                reply = self._format.read_answer(order, response.status, content)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError, ValueError):
            reply = None  # the driver repeats the order until it has had its effect
        self._on_answer(order, reply)
