"""Open the ports of a daemon when it starts or its settings change."""

import asyncio
import collections.abc
import errno
import functools

from savoryhollow.http1 import callers
from savoryhollow.proxy import tasks
from savoryhollow.settings import models

__all__ = ["MovingPorts", "open_port"]

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


class MovingPorts:
    """Moves servers to changed addresses, as soon as these aren't in use.

    :param servers_by_name: the servers; the names are for log lines.
    """

    def __init__(self, servers_by_name: collections.abc.Mapping[str, callers.Server]):
        self._servers_by_name = servers_by_name
        self._moves_by_name: dict[str, asyncio.Task[None]] = {}

    def move(
        self, addresses_by_name: collections.abc.Mapping[str, models.Address]
    ) -> None:
        """Listen on new addresses; earlier moves that still wait are given up.

        :param addresses_by_name: the address of each server, changed or not.
        """
        self.cancel()
        wanted_by_name = {
            name: (address.host, address.port)
            for name, address in addresses_by_name.items()
        }
        for name, server in self._servers_by_name.items():
            others = [wanted_by_name[one] for one in wanted_by_name.keys() - {name}]
            if server.address in others:
                server.stop_listening()
        for name, server in self._servers_by_name.items():
            if server.address != wanted_by_name[name]:
                start = functools.partial(server.start, *wanted_by_name[name])
                self._moves_by_name[name] = tasks.spawn(_keep_opening(name, start))

    def cancel(self) -> None:
        """Give up the moves that still wait."""
        for task in self._moves_by_name.values():
            task.cancel()
        self._moves_by_name.clear()


async def _keep_opening(
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
