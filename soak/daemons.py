"""Runs the daemon of an instance as a process and restarts it."""

import asyncio
import os
import pathlib
import re
import signal
import subprocess
import sys

import msgspec

from soak import layout, records

__all__ = ["Daemon"]

RESTART_DELAY_S = 0.3
# Until the daemon has installed its handler, SIGHUP ends the Python process.
MIN_SIGHUP_AGE_S = 0.3
# The same holds for SIGTERM; a busy machine takes longer.
MIN_SIGTERM_AGE_S = 1.0
# Exit statuses after SIGTERM: all requests had ended, or not.
STOPPED_STATUSES = (0, 1)
POLL_INTERVAL_S = 0.1
# A process that waits longer for a processor between two checks counts as slowed.
MAX_RUN_DELAY_S = 0.15
# Log events that report an internal error of the daemon.
FAILURE_EVENTS = ("thread_failed",)
LOGGED_ID = re.compile(r'"request_id": "([^".]+)"')


class Daemon:
    """A daemon process that is restarted whenever it exits.

    :param spec: the instance.
    :param folder: the folder for the settings and the log of the daemon.
    :param seeds: the instances that the daemon contacts first when it starts.
    :param history: the records of the run.
    """

    def __init__(
        self,
        spec: layout.InstanceSpec,
        folder: pathlib.Path,
        seeds: list[layout.InstanceSpec],
        history: records.History,
    ):
        self.spec = spec
        self.boot_count = 0
        self._seeds = seeds
        self._history = history
        self._settings_path = folder / f"{spec.name}.toml"
        self._log_path = folder / f"{spec.name}.log"
        self._process: subprocess.Popen | None = None
        self._expects_exit = False
        self._allows_any_status = False
        self._started_at = 0.0
        self._waited_s = 0.0
        self._supervisor: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the process and restart it whenever it exits."""
        self.write_settings()
        self._launch()
        self._supervisor = asyncio.create_task(self._supervise())

    def write_settings(self) -> None:
        """Replace the settings file atomically."""
        temporary = self._settings_path.with_suffix(".draft")
        temporary.write_text(_settings_text(self.spec, self._seeds))
        temporary.rename(self._settings_path)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process.

        Does nothing if the process isn't running, or for SIGHUP if it has just started.

        :param number: the signal.
        """
        if self._process is None or self._process.poll() is not None:
            return
        age_s = self._history.now - self._started_at
        if number is signal.SIGHUP and age_s < MIN_SIGHUP_AGE_S:
            return
        if number is signal.SIGKILL or age_s < MIN_SIGTERM_AGE_S:
            self._allows_any_status = True
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._expects_exit = True
        if number is signal.SIGKILL:
            killed_at = self._history.killed_at_by_place[self.spec.number]
            killed_at.append(self._history.now)
        self._process.send_signal(number)

    async def stop(self) -> None:
        """Stop the process, with SIGKILL if necessary, and don't restart it."""
        if self._supervisor is not None:
            self._supervisor.cancel()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        await self._await_exit(layout.BOUNDS.grace_s)
        self.signal(signal.SIGKILL)
        await self._await_exit(layout.BOUNDS.grace_s)

    async def _await_exit(self, timeout_s: float) -> None:
        until = self._history.now + timeout_s
        while self._process is not None and self._process.poll() is None:
            if self._history.now > until:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def terminate(self) -> None:
        """Send SIGTERM, then SIGKILL if the process outlives the grace period."""
        boot_count = self.boot_count
        self.signal(signal.SIGTERM)
        await asyncio.sleep(layout.BOUNDS.grace_s)
        if self.boot_count == boot_count:
            self.signal(signal.SIGKILL)

    def find_failures(self) -> list[str]:
        """Return internal errors and invalid lines in the log of the daemon."""
        violations = []
        for line in self._log_path.read_text().splitlines():
            try:
                event = msgspec.json.decode(line)
            except msgspec.DecodeError:
                violations.append(
                    f"{self.spec.name} logged a line that is not an event: {line}"
                )
                continue
            if event.get("name") in FAILURE_EVENTS:
                violations.append(f"{self.spec.name} logged an internal error: {line}")
        return violations

    def logged_ids(self) -> set[str]:
        """Return the ids of all requests that the log of the daemon names."""
        return set(LOGGED_ID.findall(self._log_path.read_text()))

    # -----------------------------------------------------------------------
    #   The process
    # -----------------------------------------------------------------------

    def _launch(self) -> None:
        self.boot_count += 1
        self._started_at = self._history.now
        self._waited_s = 0.0
        self._expects_exit = False
        self._allows_any_status = False
        environment = os.environ | {"SAVORYHOLLOW_BOOT": str(self._settings_path)}
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "savoryhollow.platform"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    async def _supervise(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            status = None if self._process is None else self._process.poll()
            if status is None:
                self._check_memory()
                self._record_run_delay()
                continue
            is_expected = self._expects_exit and (
                self._allows_any_status or status in STOPPED_STATUSES
            )
            if not is_expected:
                self._history.violations.append(
                    f"the daemon of {self.spec.name} exited unexpectedly: {status}"
                )
            await asyncio.sleep(RESTART_DELAY_S)
            self._launch()

    def _check_memory(self) -> None:
        """End the process if it uses more memory than it may, as a platform does."""
        assert self._process is not None
        try:
            text = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text()
        except OSError:
            # It has just ended.
            return
        used_bytes = int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")
        if used_bytes > layout.MEMORY_MB << 20:
            self._history.violations.append(
                f"the daemon of {self.spec.name} uses {used_bytes >> 20} MB"
            )
            self.signal(signal.SIGKILL)

    def _record_run_delay(self) -> None:
        """Record as a disturbance that the process had to wait for a processor."""
        assert self._process is not None
        try:
            text = pathlib.Path(f"/proc/{self._process.pid}/schedstat").read_text()
        except OSError:
            # It has just ended.
            return
        waited_s = int(text.split()[1]) / 1e9
        delay_s, self._waited_s = waited_s - self._waited_s, waited_s
        if delay_s > MAX_RUN_DELAY_S:
            now = self._history.now
            place = self.spec.number
            disturbance = records.Disturbance(
                "daemon held up", place, now - delay_s, now
            )
            self._history.disturbances.append(disturbance)


def _settings_text(spec: layout.InstanceSpec, seeds: list[layout.InstanceSpec]) -> str:
    bounds = layout.BOUNDS
    seed_addresses = ", ".join(
        f'"{seed.published_ip}:{layout.INNER_PORT}"' for seed in seeds
    )
    zones = "\n".join(
        f'{zone} = "{region}"' for zone, region in layout.REGIONS_BY_ZONE.items()
    )
    return f"""
node = "{spec.name}"
ip = "{spec.listen_ip}"
zone = "{spec.zone}"
region = "{spec.region}"
service = "{spec.service}"
app_addr = "{spec.published_ip}:{layout.BACKEND_PORT}"
seeds = [{seed_addresses}]
bounds = [
    "grace_s={bounds.grace_s}", "drain_s={bounds.drain_s}", "addr_reuse_s=2",
    "retry_budget_ratio={bounds.retry_ratio}",
    "retry_budget_slack={bounds.retry_slack}",
    "budget_window_s={bounds.retry_window_s}",
]
[zones]
{zones}
[listen]
inbound = "{spec.listen_ip}:{layout.INNER_PORT}"
outbound = "{spec.listen_ip}:{layout.FRONT_PORT}"
ready = "{spec.listen_ip}:{layout.READINESS_PORT}"
[limits]
memory_mb = {layout.MEMORY_MB}
[platform]
address = "{spec.store_ip}:{layout.STORE_PORT}"
"""
