"""Background tasks, which run concurrently with the task that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog


class BackgroundTasks:
    """Runs coroutines as asyncio tasks and logs their failures.

    References to the tasks are kept, because the event loop alone may lose a running task to the
    garbage collector.

    Args:
        name: Name of the logger.
    """

    def __init__(self, *, name: str):
        self._log = structlog.get_logger(name)
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def close(self) -> None:
        """Cancels the tasks that are still running and waits for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("background task failed", exc_info=task.exception())
