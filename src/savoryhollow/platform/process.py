"""Run a daemon on the users' platform until it is told to stop."""

import asyncio
import gc
import logging
import os
import pathlib
import signal

from savoryhollow import errors
from savoryhollow.membership import directory
from savoryhollow.observe import events, output
from savoryhollow.platform import boot, documents, headers, store
from savoryhollow.proxy import agent as agent_module
from savoryhollow.proxy import tasks

__all__ = ["run"]

SETTINGS_VARIABLE = "SAVORYHOLLOW_BOOT"
DEFAULT_PATH = "/etc/savoryhollow/local.toml"


class Adapter:
    """Tells an agent what the platform publishes.

    :param settings: the settings of the instance.
    :param agent: the daemon.
    """

    def __init__(self, settings: boot.BootSettings, agent: agent_module.Agent):
        self._settings = settings
        self._agent = agent
        self._clock = asyncio.get_running_loop().time
        self.follower = store.StoreFollower(
            settings.store, self.take_all, self.take_change, self.note_contact
        )

    def take_all(self, items: list[documents.Change]) -> None:
        """Take in everything that the store holds."""
        endpoints = []
        for item in items:
            if item.key == documents.CONFIGURATION_KEY:
                self.take_change(item)
            elif item.key.startswith(documents.ENDPOINT_PREFIX):
                endpoint = self._endpoint(item)
                if endpoint is not None:
                    endpoints.append(endpoint)
        self._agent.members.replace(endpoints, self._clock())

    def take_change(self, change: documents.Change) -> None:
        """Take in one change."""
        if change.key == documents.CONFIGURATION_KEY:
            self._take_configuration(change)
        elif change.key.startswith(documents.ENDPOINT_PREFIX):
            self._take_endpoint(change)

    def note_contact(self, good: bool) -> None:
        """Take in whether the store answers."""
        if good:
            self._agent.members.regain_source(self._clock())
        else:
            self._agent.members.lose_source(self._clock())

    def _take_configuration(self, change: documents.Change) -> None:
        if change.tombstone:
            return
        try:
            self._agent.configure(documents.decode_table(change))
        except errors.StoreError as error:
            events.emit(
                events.Event.CONFIGURATION_REJECTED,
                revision=change.revision,
                problems=[str(error)],
            )

    def _take_endpoint(self, change: documents.Change) -> None:
        endpoint_id = change.key.removeprefix(documents.ENDPOINT_PREFIX)
        members = self._agent.members
        if change.tombstone:
            members.remove(endpoint_id, self._clock())
            self._log(endpoint_id, "removed", change)
            return
        endpoint = self._endpoint(change)
        if endpoint is None:
            members.remove(endpoint_id, self._clock())
        elif members.put(endpoint):
            self._log(endpoint_id, endpoint.state.value, change)

    def _endpoint(self, item: documents.Change) -> directory.KnownEndpoint | None:
        settings = self._settings
        try:
            return documents.decode_endpoint(
                item, settings.regions_by_zone, settings.inner_port, self._clock()
            )
        except errors.StoreError as error:
            events.emit(events.Event.ENDPOINT_UNREADABLE, detail=str(error))
            return None

    def _log(self, endpoint_id: str, state: str, change: documents.Change) -> None:
        events.emit(
            events.Event.ENDPOINT_CHANGED,
            endpoint_id=endpoint_id,
            state=state,
            revision=change.revision,
        )


async def _serve(settings: boot.BootSettings) -> bool:
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    agent = agent_module.Agent(settings.agent, headers.DIALECT)
    adapter = Adapter(settings, agent)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await agent.start()
    following = tasks.keep_running("follow", adapter.follower.run)
    gc.collect()
    # What is alive now lives as long as the process; keep the collector off it.
    gc.freeze()
    await told.wait()
    # Endpoints may leave while requests are still finished here.
    drained = await agent.stop()
    following.cancel()
    return drained


def run() -> int:
    """Run a daemon until SIGTERM or SIGINT.

    :returns: the exit status: 0 where every request had ended, else 1.
    :raises errors.SettingsError: where the settings are rejected.
    """
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    settings = boot.read(path)
    events.configure(settings.agent.instance, stream=output.LossyStream(1))
    with asyncio.Runner() as runner:
        drained = runner.run(_serve(settings))
        logging.shutdown()
        # Links to peers that don't answer would hold up an ordinary exit.
        os._exit(0 if drained else 1)
