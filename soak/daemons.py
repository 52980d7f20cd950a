"""The daemon of each instance, as a process of its own."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import msgspec

from soak import layout, records

__all__ = ["Daemon"]

# Time from the end of a process to the start of the next one, in s.
RESTART_S = 0.3
# Age from which a process can take a SIGHUP: before, Python itself ends by it, in s.
HINT_AGE_S = 0.3
# How often a process that should run is looked at, in s.
WATCH_S = 0.1
# Events that tell of a fault of the daemon's own.
FAULTY_EVENTS = ("thread_failed",)


class Daemon:
    """One daemon, started anew whenever it has ended.

    :param place: the instance.
    :param folder: where its settings and logs are kept.
    :param seeds: the numbers of instances that a start may learn from.
    """

    def __init__(
        self,
        place: layout.Place,
        folder: pathlib.Path,
        seeds: list[layout.Place],
        history: records.History,
    ):
        self.place = place
        self.boots = 0
        self._seeds = seeds
        self._history = history
        self._settings = folder / f"{place.name}.toml"
        self._log = folder / f"{place.name}.log"
        self._process: subprocess.Popen | None = None
        self._expected_end = False
        self._started_at = 0.0
        self._watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the process, and again whenever it ends."""
        self.write_settings()
        self._launch()
        self._watch = asyncio.create_task(self._keep_up())

    def write_settings(self) -> None:
        """Place the settings file anew, as a whole."""
        draft = self._settings.with_suffix(".draft")
        draft.write_text(_settings_text(self.place, self._seeds))
        draft.rename(self._settings)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is None or self._process.poll() is not None:
            return
        if (
            number is signal.SIGHUP
            and self._history.now < self._started_at + HINT_AGE_S
        ):
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._expected_end = True
        self._process.send_signal(number)

    async def stop(self) -> None:
        """End the process for good."""
        if self._watch is not None:
            self._watch.cancel()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        await self._await_end(layout.BOUNDS.grace_s)
        self.signal(signal.SIGKILL)
        await self._await_end(layout.BOUNDS.grace_s)

    async def _await_end(self, limit_s: float) -> None:
        until = self._history.now + limit_s
        while self._process is not None and self._process.poll() is None:
            if self._history.now > until:
                return
            await asyncio.sleep(WATCH_S)

    async def terminate(self) -> None:
        """Stop the process as planned: SIGTERM, and SIGKILL if it lasts too long."""
        boots = self.boots
        self.signal(signal.SIGTERM)
        await asyncio.sleep(layout.BOUNDS.grace_s)
        if self.boots == boots:
            self.signal(signal.SIGKILL)

    def find_faults(self) -> list[str]:
        """Return what the logs tell of faults of the daemon's own."""
        found = []
        for line in self._log.read_text().splitlines():
            try:
                event = msgspec.json.decode(line)
            except msgspec.DecodeError:
                found.append(f"{self.place.name} wrote a line that is no event: {line}")
                continue
            if event.get("name") in FAULTY_EVENTS:
                found.append(f"{self.place.name} failed: {line}")
        return found

    # -----------------------------------------------------------------------
    #   The process
    # -----------------------------------------------------------------------

    def _launch(self) -> None:
        self.boots += 1
        self._started_at = self._history.now
        self._expected_end = False
        environment = os.environ | {"SAVORYHOLLOW_BOOT": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "savoryhollow.platform"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    async def _keep_up(self) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            status = None if self._process is None else self._process.poll()
            if status is None:
                continue
            if not self._expected_end:
                self._history.findings.append(
                    f"the daemon of {self.place.name} ended by itself: {status}"
                )
            await asyncio.sleep(RESTART_S)
            self._launch()


def _settings_text(place: layout.Place, seeds: list[layout.Place]) -> str:
    bounds = layout.BOUNDS
    listed = ", ".join(f'"{one.published}:{layout.INNER_PORT}"' for one in seeds)
    zones = "\n".join(
        f'{zone} = "{region}"' for zone, region in layout.REGIONS_BY_ZONE.items()
    )
    return f"""
node = "{place.name}"
ip = "{place.real}"
zone = "{place.zone}"
region = "{place.region}"
service = "{place.service}"
app_addr = "{place.published}:{layout.BACKEND_PORT}"
seeds = [{listed}]
bounds = [
    "grace_s={bounds.grace_s}", "drain_s={bounds.drain_s}", "addr_reuse_s=2",
    "retry_budget_ratio={bounds.retry_ratio}",
    "retry_budget_slack={bounds.retry_slack}",
    "budget_window_s={bounds.retry_window_s}",
]
[zones]
{zones}
[listen]
inbound = "{place.real}:{layout.INNER_PORT}"
outbound = "{place.real}:{layout.FRONT_PORT}"
ready = "{place.real}:{layout.READINESS_PORT}"
[platform]
address = "{place.store}:{layout.STORE_PORT}"
"""
