"""Background tasks that run as long as the process."""

import asyncio
import collections.abc

from savoryhollow.observe import events

__all__ = ["log_failure", "spawn", "spawn_supervised"]

# The event loop keeps only weak references; these keep tasks from being collected.
_tasks: set[asyncio.Task] = set()

# Delay before a failed task is restarted, in s.
RESTART_DELAY_S = 0.3


def spawn_supervised(
    name: str, work: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> asyncio.Task[None]:
    """Start a task and restart it whenever it raises an exception.

    :param name: the name of the task in log lines.
    :param work: the coroutine function to run; it isn't expected to return.
    """

    async def run() -> None:
        while True:
            try:
                await work()
            except Exception as error:
                log_failure(name, error)
            await asyncio.sleep(RESTART_DELAY_S)

    return spawn(run())


def spawn(work: collections.abc.Coroutine[None, None, None]) -> asyncio.Task[None]:
    """Start a task and keep a reference to it until it ends."""
    task = asyncio.create_task(work)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


def log_failure(name: str, error: Exception) -> None:
    """Log an unexpected exception and where it was raised.

    :param name: the name of the task in log lines.
    """
    # The exception's message isn't logged, as it may contain data of a caller.
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    events.emit(
        events.Event.THREAD_FAILED,
        thread=name,
        error=type(error).__name__,
        function=traceback.tb_frame.f_code.co_name if traceback else "",
        line=traceback.tb_lineno if traceback else 0,
    )
