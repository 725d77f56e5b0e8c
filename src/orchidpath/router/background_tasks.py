"""Tasks that outlive the request that started them.

The event loop holds only weak references to tasks; the references held here prevent a running task
from being garbage-collected.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from orchidpath.common.logs import Logger, get_logger

ResultT = TypeVar("ResultT")


class BackgroundTasks:
    """A set of running tasks; the exception of a failed task is logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._logger: Logger = get_logger("background_tasks")

    def spawn(self, work: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        """Start a task and hold a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def close(self, timeout_seconds: float) -> None:
        """Wait up to the timeout for all tasks, then cancel those still running."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_seconds)
        for task in list(self._tasks):
            task.cancel()

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._logger.error(
                "background_task_failed", kind=type(error).__name__, error=str(error)
            )
