"""Open the ports of a daemon when it starts or its settings change."""

import asyncio
import collections.abc
import errno

from savoryhollow.proxy import tasks

__all__ = ["keep_opening_port", "open_port"]

# Time for the ports of an earlier process to become free once it has ended, in s.
RELEASE_MARGIN_S = 1.0
RETRY_INTERVAL_S = 0.1
TEMPORARY_ERRORS = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))


async def open_port(
    start: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    stop_limit_s: float,
) -> None:
    """Start to listen; wait if the address can't be used yet.

    :param start: the coroutine function that listens.
    :param stop_limit_s: the time that an earlier process may take to stop, in s.
    :raises OSError: if the port can't be opened in time.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + stop_limit_s + RELEASE_MARGIN_S
    while True:
        try:
            return await start()
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS or clock() >= deadline:
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)


async def keep_opening_port(
    name: str, start: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> None:
    """Start to listen; wait for as long as the address can't be used.

    :param name: the name of the port in log lines.
    :param start: the coroutine function that listens.
    """
    is_logged = False
    while True:
        try:
            return await start()
        except OSError as error:
            if not is_logged:
                tasks.log_failure(name, error)
            is_logged = True
        await asyncio.sleep(RETRY_INTERVAL_S)
