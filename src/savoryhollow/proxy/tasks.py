"""Tasks that go on for as long as the process does."""

import asyncio
import collections.abc

from savoryhollow.observe import events

__all__ = ["spawn", "spawn_supervised"]

# The event loop alone would let a task that nobody holds be collected.
_tasks: set[asyncio.Task] = set()

# Pause before a task that failed is started again, in s.
RESTART_DELAY_S = 0.3


def spawn_supervised(
    name: str, work: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> asyncio.Task[None]:
    """Start a task, and start it again whenever it fails by a fault of ours.

    :param name: names it in the log.
    :param work: what it does; never returns.
    """

    async def run() -> None:
        while True:
            try:
                await work()
            except Exception as error:
                _log_failure(name, error)
            await asyncio.sleep(RESTART_DELAY_S)

    return spawn(run())


def spawn(work: collections.abc.Coroutine[None, None, None]) -> asyncio.Task[None]:
    """Start a task and hold it until it ends."""
    task = asyncio.create_task(work)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


def _log_failure(name: str, error: Exception) -> None:
    # The text of the exception is left out, as it may quote a caller.
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
