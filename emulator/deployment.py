"""Run a deployment as separate processes on loopback.

Each instance has its own IP address in ``127.S.0.0/16``. An open socket reserves
the octet S, so that concurrent deployments use different addresses.
"""

import atexit
import dataclasses
import itertools
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import urllib3

from emulator import plans
from savoryhollow import errors

__all__ = ["Deployment", "Instance"]

# Ports; the same for all instances, because each has its own IP address.
FRONT_PORT = 7080
INNER_PORT = 7081
OPERATOR_PORT = 7082
BACKEND_PORT = 7083
STORE_PORT = 7084
LINK_CONTROL_PORT = 7085
LOCK_PORT = 7099
# Time for all processes to become ready, in s.
READY_TIMEOUT_S = 30.0
# Time for a process to exit after SIGTERM, in s; then it is killed.
STOP_TIMEOUT_S = 15.0


class DeploymentError(errors.SavoryhollowError):
    """A deployment failed to start."""


@dataclasses.dataclass(slots=True)
class Instance:
    """An instance: a backend server and its daemon.

    :param host: the IP address of the instance.
    :param link_host: the IP address that other regions use, over the emulated link.
    """

    endpoint_id: str
    service: str
    region: str
    zone: str
    host: str
    link_host: str
    daemon: subprocess.Popen | None = None
    backend: subprocess.Popen | None = None


class Deployment:
    """The processes of a deployment; a context manager.

    :param placement: the placement policy of all daemons.
    :param daemon_settings: more settings for all daemons.
    """

    def __init__(
        self,
        plan: plans.DeploymentPlan,
        placement: str = "evidence",
        **daemon_settings: typing.Any,
    ):
        self.plan = plan
        self._placement = placement
        self._daemon_settings = daemon_settings
        self._folder = tempfile.TemporaryDirectory(prefix="savoryhollow-")
        host_count = sum(service.endpoints for service in plan.services)
        self._lock_socket, self._subnet = _reserve_subnet(host_count, len(plan.regions))
        self._http = urllib3.PoolManager(maxsize=4, retries=False)
        self.instances_by_id = self._make_instances()
        self.processes_by_name: dict[str, subprocess.Popen] = {}
        atexit.register(self._kill_processes)

    def __enter__(self) -> "Deployment":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    # -----------------------------------------------------------------------
    #   Start and stop
    # -----------------------------------------------------------------------

    def start(self) -> None:
        """Start all processes and wait until all daemons are ready.

        :raises DeploymentError: if a process exits or is not ready in time.
        """
        self._spawn("platform", "emulator.platform", self._make_platform_settings())
        self._spawn("link", "emulator.link", self._make_link_settings())
        for instance in self.instances_by_id.values():
            self.start_backend(instance)
            self.start_daemon(instance)
        deadline = time.monotonic() + READY_TIMEOUT_S
        for instance in self.instances_by_id.values():
            self.await_ready(instance, deadline)
        self._check_processes()

    def start_backend(self, instance: Instance) -> None:
        """Start the backend server of an instance."""
        service = self._find_service(instance.service)
        settings = {
            "host": instance.host,
            "port": BACKEND_PORT,
            "slots": self.plan.slots,
            "seed": sum(instance.endpoint_id.encode()),
            "service_ms": service.service_ms,
        }
        name = f"backend-{instance.endpoint_id}"
        instance.backend = self._spawn(name, "emulator.backend_server", settings)

    def start_daemon(self, instance: Instance) -> None:
        """Start the daemon of an instance."""
        settings = self._make_daemon_settings(instance)
        name = f"daemon-{instance.endpoint_id}"
        instance.daemon = self._spawn(name, "savoryhollow.daemon", settings)

    def stop(self) -> dict[str, int]:
        """Stop all processes, the daemons first.

        :returns: the exit statuses by process name.
        """
        processes = list(self.processes_by_name.items())
        for name, process in processes:
            if name.startswith("daemon"):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        statuses = {}
        for name, process in processes:
            if name.startswith("daemon"):
                statuses[name] = _wait_for_exit(process)
        for name, process in processes:
            if not name.startswith("daemon"):
                process.send_signal(signal.SIGCONT)
                process.terminate()
                statuses[name] = _wait_for_exit(process)
        self._lock_socket.close()
        self._folder.cleanup()
        return statuses

    def _kill_processes(self) -> None:
        """Kill all processes if the interpreter exits without a call of stop()."""
        for process in self.processes_by_name.values():
            process.kill()

    def await_ready(self, instance: Instance, deadline: float) -> None:
        """Wait until a daemon has applied a configuration and an instance list.

        :param deadline: the end of the wait, by time.monotonic().
        :raises DeploymentError: if the daemon is not ready by then.
        """
        while time.monotonic() < deadline:
            try:
                state = self.dump(instance)
            except urllib3.exceptions.HTTPError:
                time.sleep(0.05)
                continue
            if state["configuration_revision"] >= 0 and state["list_revision"] >= 0:
                return
            time.sleep(0.05)
        log = self.read_log(f"daemon-{instance.endpoint_id}")
        raise DeploymentError(f"{instance.endpoint_id} is not ready; log:\n{log}")

    def _check_processes(self) -> None:
        # Otherwise a leftover process could respond in place of one that has exited.
        for name, process in self.processes_by_name.items():
            if process.poll() is not None:
                raise DeploymentError(f"{name} has exited; log:\n{self.read_log(name)}")

    # -----------------------------------------------------------------------
    #   Queries and fault injection
    # -----------------------------------------------------------------------

    def front_url(self, instance: Instance) -> str:
        """Return the URL that callers of an instance's daemon use."""
        return f"http://{instance.host}:{FRONT_PORT}"

    def operator_address(self, instance: Instance) -> str:
        """Return the operator address of an instance's daemon, as HOST:PORT."""
        return f"{instance.host}:{OPERATOR_PORT}"

    def dump(self, instance: Instance) -> dict:
        """Return the state dump of an instance's daemon."""
        return self._request("GET", f"http://{self.operator_address(instance)}/dump")

    def run_counts(self, instance: Instance) -> dict[str, int]:
        """Return the number of runs on an instance's backend server by attempt id."""
        return self._request("GET", f"http://{instance.host}:{BACKEND_PORT}/records")

    def control_backend(self, instance: Instance, **fields: typing.Any) -> None:
        """Change the state of an instance's backend server.

        :param fields: fields of ``backend_server.BackendState``.
        """
        url = f"http://{instance.host}:{BACKEND_PORT}/control"
        self._request("POST", url, fields)

    def control_platform(self, **fields: typing.Any) -> None:
        """Change what the platform publishes or how it fails.

        :param fields: fields of ``platform.PlatformState``.
        """
        self._request("POST", f"http://{self._store_host}:{STORE_PORT}/control", fields)

    def platform_read_count(self) -> int:
        """Return the number of reads that the platform has received."""
        return self._request("GET", f"http://{self._store_host}:{STORE_PORT}/reads")[
            "reads"
        ]

    def control_link(self, **fields: typing.Any) -> dict[str, int]:
        """Change how the link fails and return its counts.

        :param fields: fields of ``link.LinkState``.
        """
        address = (self._link_host(1), LINK_CONTROL_PORT)
        with socket.create_connection(address, timeout=5) as sock:
            sock.sendall(json.dumps(fields).encode() + b"\n")
            return json.loads(sock.makefile().readline())

    def read_log(self, name: str) -> str:
        """Return the log of a process.

        :param name: a key of ``processes_by_name``.
        """
        return (pathlib.Path(self._folder.name) / f"{name}.log").read_text()

    def _request(self, method: str, url: str, fields: dict | None = None) -> typing.Any:
        body = None if fields is None else json.dumps(fields)
        return self._http.request(method, url, body=body, timeout=5.0).json()

    # -----------------------------------------------------------------------
    #   Settings of the processes
    # -----------------------------------------------------------------------

    def _spawn(self, name: str, module: str, settings: dict) -> subprocess.Popen:
        folder = pathlib.Path(self._folder.name)
        path = folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        with open(folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, str(path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes_by_name[name] = process
        return process

    def _make_instances(self) -> dict[str, Instance]:
        instances = {}
        zones = self.plan.zones_per_region
        for service in self.plan.services:
            for number in range(service.endpoints):
                region_number = number % len(self.plan.regions)
                zone_number = number // len(self.plan.regions) % zones
                region = self.plan.regions[region_number]
                count = len(instances) + 1
                endpoint_id = f"{service.name}-{number}"
                instances[endpoint_id] = Instance(
                    endpoint_id=endpoint_id,
                    service=service.name,
                    region=region,
                    zone=f"{region}-{'ab'[zone_number % 2]}",
                    host=f"127.{self._subnet}.{region_number}.{count}",
                    link_host=self._link_host(count + 10),
                )
        return instances

    def _link_host(self, number: int) -> str:
        return f"127.{self._subnet}.100.{number}"

    @property
    def _store_host(self) -> str:
        return f"127.{self._subnet}.90.1"

    def _find_service(self, name: str) -> plans.ServicePlan:
        return next(s for s in self.plan.services if s.name == name)

    def instance_list(self, region: str, **states: str) -> list[dict]:
        """Return the instance list that a region gets from the platform.

        :param states: by endpoint id, with ``_`` for ``-``; all others are ``live``.
        """
        return [
            {
                "endpoint_id": instance.endpoint_id,
                "service": instance.service,
                "region": instance.region,
                "zone": instance.zone,
                "host": self._host_for_region(instance, region),
                "port": INNER_PORT,
                "state": states.get(instance.endpoint_id.replace("-", "_"), "live"),
            }
            for instance in self.instances_by_id.values()
        ]

    def _host_for_region(self, instance: Instance, region: str) -> str:
        return instance.host if instance.region == region else instance.link_host

    def _make_platform_settings(self) -> dict:
        return {
            "host": self._store_host,
            "port": STORE_PORT,
            "files": self.plan.files,
            "instances_by_region": {
                region: self.instance_list(region) for region in self.plan.regions
            },
        }

    def _make_link_settings(self) -> dict:
        forwards = [
            _make_forward(instance.link_host, instance.host, INNER_PORT)
            for instance in self.instances_by_id.values()
        ]
        forwards.append(_make_forward(self._link_host(2), self._store_host, STORE_PORT))
        return {
            "control_host": self._link_host(1),
            "control_port": LINK_CONTROL_PORT,
            "delay_ms": self.plan.delay_ms,
            "bits_per_s": self.plan.link_bits_per_s,
            "forwards": forwards,
        }

    def _make_daemon_settings(self, instance: Instance) -> dict:
        is_remote = instance.region != self.plan.store_region
        store_host = self._link_host(2) if is_remote else self._store_host
        return {
            "endpoint_id": instance.endpoint_id,
            "service": instance.service,
            "region": instance.region,
            "zone": instance.zone,
            "front": {"host": instance.host, "port": FRONT_PORT},
            "inner": {"host": instance.host, "port": INNER_PORT},
            "operator": {"host": instance.host, "port": OPERATOR_PORT},
            "backend": {"host": instance.host, "port": BACKEND_PORT},
            "store": {"host": store_host, "port": STORE_PORT},
            "slots": self.plan.slots,
            "placement": self._placement,
        } | self._daemon_settings


def _make_forward(host: str, to_host: str, port: int) -> dict:
    return {"host": host, "port": port, "to_host": to_host, "to_port": port}


def _reserve_subnet(host_count: int, region_count: int) -> tuple[socket.socket, int]:
    for subnet in range(10, 250):
        lock_socket = socket.socket()
        try:
            lock_socket.bind((f"127.{subnet}.200.1", LOCK_PORT))
            # Processes of a killed deployment may still listen in the subnet.
            _check_ports_are_free(subnet, host_count, region_count)
        except OSError:
            lock_socket.close()
            continue
        return lock_socket, subnet
    raise DeploymentError("no subnet of 127.0.0.0/8 is free; stop other deployments")


def _check_ports_are_free(subnet: int, host_count: int, region_count: int) -> None:
    for region, number in itertools.product(
        range(region_count), range(1, host_count + 1)
    ):
        for port in (FRONT_PORT, INNER_PORT, OPERATOR_PORT, BACKEND_PORT):
            with socket.create_server((f"127.{subnet}.{region}.{number}", port)):
                pass
    for host, port in ((f"127.{subnet}.90.1", STORE_PORT),) + tuple(
        (f"127.{subnet}.100.{number + 10}", INNER_PORT)
        for number in range(1, host_count + 1)
    ):
        with socket.create_server((host, port)):
            pass


def _wait_for_exit(process: subprocess.Popen) -> int:
    try:
        return process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
