"""Run a daemon on the users' platform."""

import asyncio
import gc
import logging
import os
import pathlib
import signal
import socket
import time

from savoryhollow import errors
from savoryhollow.membership import directory
from savoryhollow.observe import events, output
from savoryhollow.platform import boot, documents, early, headers, store
from savoryhollow.proxy import agent as agent_module
from savoryhollow.proxy import tasks
from savoryhollow.settings import models
from savoryhollow.wire import messages

__all__ = ["run"]

# Interval of checks for changes of the settings file, in s.
SETTINGS_CHECK_INTERVAL_S = 0.5
# Time after the start in which the platform may still be writing the settings file, and
# interval between attempts to read it, in s.
SETTINGS_WAIT_S = 10.0
SETTINGS_RETRY_INTERVAL_S = 0.05
# Time at the end for a slow reader of the log, in s.
LOG_TIMEOUT_S = 0.05
# Time before the end of a stop at which a start that waits for ports is given up, in s.
START_MARGIN_S = 1.0


class Adapter:
    """Applies the items published by the platform to an agent.

    :param settings: the settings of the instance.
    """

    def __init__(self, settings: boot.BootSettings):
        self._settings = settings
        self._clock = asyncio.get_running_loop().time
        self.agent = agent_module.Agent(
            settings.agent, headers.DIALECT, self.apply_items
        )
        self.follower = store.StoreFollower(settings.store, self.agent.readers)

    def apply_items(self, items: list[messages.PublishedItem]) -> None:
        """Apply new and changed items: the configuration, then the oldest first."""
        for item in sorted(items, key=_application_order):
            try:
                self._apply_item(item)
            except Exception as error:
                # The replica won't deliver the other items again.
                tasks.log_failure("apply_item", error)

    def _apply_item(self, item: messages.PublishedItem) -> None:
        if item.key == documents.CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(documents.ENDPOINT_PREFIX):
            self._apply_endpoint(item)

    def _apply_configuration(self, item: messages.PublishedItem) -> None:
        if item.content is None:
            return
        try:
            self.agent.configure(documents.decode_route_table(item))
        except errors.StoreError as error:
            events.emit(
                events.Event.CONFIGURATION_REJECTED,
                revision=item.revision,
                problems=[str(error)],
            )

    def _apply_endpoint(self, item: messages.PublishedItem) -> None:
        endpoint_id = item.key.removeprefix(documents.ENDPOINT_PREFIX)
        members = self.agent.members
        endpoint = None if item.content is None else self._decode_endpoint(item)
        if endpoint is None:
            members.remove(endpoint_id, self._clock())
            state = "removed"
        elif self._is_intruder(endpoint):
            detail = f"{item.key} has the address of another endpoint"
            events.emit(events.Event.ENDPOINT_UNREADABLE, detail=detail)
            return
        elif members.put(endpoint):
            state = endpoint.state.value
        else:
            return
        events.emit(
            events.Event.ENDPOINT_CHANGED,
            endpoint_id=endpoint_id,
            state=state,
            revision=item.revision,
        )

    def _is_intruder(self, endpoint: directory.KnownEndpoint) -> bool:
        """Return whether an entry of an unknown service names a known address.

        Addresses are used again by endpoints of other services, but only of those that
        the configuration names. Other entries must not take the place of an endpoint.
        """
        table = self.agent.front.table
        current = self.agent.members.endpoints_by_host.get(endpoint.host)
        if table is None or current is None:
            return False
        if current.endpoint_id == endpoint.endpoint_id:
            return False
        return not (
            endpoint.service in table.services
            or endpoint.service in table.health_paths_by_service
            or endpoint.service == self._settings.agent.service
        )

    def _decode_endpoint(self, item: messages.PublishedItem):
        settings = self._settings
        try:
            return documents.decode_endpoint(
                item, settings.regions_by_zone, settings.inner_port, self._clock()
            )
        except errors.StoreError as error:
            events.emit(events.Event.ENDPOINT_UNREADABLE, detail=str(error))
            return None

    # -----------------------------------------------------------------------
    #   Changes of the settings
    # -----------------------------------------------------------------------

    async def follow_settings(
        self,
        path: pathlib.Path,
        last_stamp: tuple[int, int],
        reload_requested: asyncio.Event,
    ) -> None:
        """Reload the settings file whenever it changes; never return.

        :param path: the settings file.
        :param last_stamp: modification time and size of the file, taken before it was
            last read.
        :param reload_requested: set to reload the file immediately.
        """
        while True:
            requested = await _wait_for(reload_requested, SETTINGS_CHECK_INTERVAL_S)
            stamp = _file_stamp(path)
            if requested or stamp != last_stamp:
                last_stamp = stamp
                await self._reload(path)

    async def _reload(self, path: pathlib.Path) -> None:
        try:
            settings = boot.read(path)
        except errors.SettingsError as error:
            problems = [str(problem) for problem in error.problems]
            events.emit(events.Event.SETTINGS_REJECTED, problems=problems)
            return
        if settings.store != self._settings.store:
            self.follower.change_address(settings.store)
        self._settings = settings
        changed = await self.agent.reconfigure(settings.agent)
        events.emit(events.Event.SETTINGS_RELOADED, changed=changed)


def _application_order(item: messages.PublishedItem) -> tuple[bool, int]:
    return (item.key != documents.CONFIGURATION_KEY, item.revision)


def _file_stamp(path: pathlib.Path) -> tuple[int, int]:
    try:
        status = path.stat()
    except OSError:
        # The file may be missing while it is replaced; the current settings stay.
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


async def _wait_for(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event and clear it; return False if the timeout expires first."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    event.clear()
    return True


async def _serve(
    path: pathlib.Path,
    last_stamp: tuple[int, int],
    settings: boot.BootSettings,
    front_socket: socket.socket | None,
    listening_since: float,
    stop_request_times: list[float],
) -> bool:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()

    def request_stop(*_: object) -> None:
        # Python calls this at once, even while the event loop is held up.
        stop_request_times.append(loop.time())
        loop.call_soon_threadsafe(stop_requested.set)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, request_stop)
    if stop_request_times:
        stop_requested.set()
    adapter = Adapter(settings)
    agent = adapter.agent
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    front_socket = _matching_socket(front_socket, settings.agent.front)
    starting = agent.start(front_socket, listening_since)
    start_task = asyncio.create_task(starting)
    await _wait_for_start(
        start_task, stop_requested, stop_request_times, settings.agent.stop_limit_s
    )
    if not start_task.done():
        start_task.cancel()
        return await agent.stop(stop_request_times[0])
    await start_task
    tasks.spawn_supervised(
        "settings", lambda: adapter.follow_settings(path, last_stamp, reload_requested)
    )
    follower_task = tasks.spawn_supervised("follow", adapter.follower.run)
    gc.collect()
    # Existing objects live as long as the process, so garbage collection can skip them.
    gc.freeze()
    await stop_requested.wait()
    # Endpoints may be removed while the agent finishes its requests, so the follower
    # keeps running until then.
    drained = await agent.stop(stop_request_times[0])
    follower_task.cancel()
    return drained


async def _wait_for_start(
    start_task: asyncio.Task[None],
    stop_requested: asyncio.Event,
    stop_request_times: list[float],
    stop_limit_s: float,
) -> None:
    """Wait until the agent has started, or can't start before it has to stop.

    :param start_task: opens the ports, and waits for those that are in use.
    :param stop_requested: set once the process is to stop.
    :param stop_request_times: the times of the signals to stop, in s.
    :param stop_limit_s: the time after the first of them at which the process is
        killed, in s.
    """
    stop_task = asyncio.create_task(stop_requested.wait())
    await asyncio.wait((start_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
    stop_task.cancel()
    if stop_request_times:
        # Callers may be waiting, and can be answered once the ports are open.
        deadline = stop_request_times[0] + stop_limit_s - START_MARGIN_S
        timeout_s = deadline - asyncio.get_running_loop().time()
        await asyncio.wait((start_task,), timeout=max(0.0, timeout_s))


def _matching_socket(
    listening_socket: socket.socket | None, address: models.Address
) -> socket.socket | None:
    """Return the socket if it listens on the address; otherwise close it."""
    if listening_socket is None or listening_socket.getsockname() == (
        address.host,
        address.port,
    ):
        return listening_socket
    listening_socket.close()
    return None


def _read_settings(
    path: pathlib.Path, stop_request_times: list[float]
) -> tuple[boot.BootSettings, tuple[int, int]]:
    """Return the settings, and the file's stamp from before they were read.

    The platform may replace the file while the process starts.

    :param path: the settings file.
    :param stop_request_times: the monotonic times, in s, of the signals to stop so
        far; later ones are added.
    :raises errors.SettingsError: if the settings stay invalid, or are invalid when the
        process is to stop.
    """
    deadline = time.monotonic() + SETTINGS_WAIT_S
    while True:
        stamp = _file_stamp(path)
        try:
            return boot.read(path), stamp
        except errors.SettingsError:
            if stop_request_times or time.monotonic() >= deadline:
                raise
        time.sleep(SETTINGS_RETRY_INTERVAL_S)


def run(
    front_socket: socket.socket | None,
    listening_since: float,
    stop_request_times: list[float],
) -> int:
    """Run a daemon until SIGTERM or SIGINT.

    :param front_socket: a socket that is already listening for callers, if any.
    :param listening_since: the monotonic time since which it has been listening, in s.
    :param stop_request_times: the monotonic times, in s, of the signals to stop that
        came before this call; later ones are added.
    :returns: the exit status: 0 if all requests had ended, else 1.
    :raises errors.SettingsError: if the settings are invalid or a port cannot be
        opened.
    """
    path = early.settings_path()
    settings, last_stamp = _read_settings(path, stop_request_times)
    log = output.LossyStream(1)
    events.configure(settings.agent.instance, stream=log)
    with asyncio.Runner() as runner:
        serving = _serve(
            path,
            last_stamp,
            settings,
            front_socket,
            listening_since,
            stop_request_times,
        )
        try:
            drained = runner.run(serving)
        except OSError as error:
            remedy = f"name ports of this instance that are not in use: {error}"
            problem = errors.Problem(str(path), "listen", "-", remedy)
            raise errors.SettingsError([problem]) from error
        log.finish(LOG_TIMEOUT_S)
        events.report_left_out()
        logging.shutdown()
        log.finish(LOG_TIMEOUT_S)
        # An ordinary exit would wait for links to peers that don't answer.
        os._exit(0 if drained else 1)
