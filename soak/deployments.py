"""Deployment of the soak test: store, backend servers, proxies, daemons and callers."""

import asyncio
import pathlib
import random

from emulator import kv_store, proxy
from savoryhollow import errors
from soak import backends, callers, daemons, layout, records

__all__ = ["Deployment", "Instance", "monitor_event_loop"]

CONFIGURATION_KEY = "op/config"
ENTRY_PREFIX = "servers/"
SLOTS = 4
CALLERS_OF_INSTANCE = (callers.Caller, callers.Caller, callers.EagerCaller)
# Kind and priority of the route of each path prefix.
SEMANTICS_BY_PREFIX = {
    "/lookup/": ("safe", 1),
    "/book/": ("unsafe", 1),
    "/report/": ("safe", 2),
    "/order/": ("unsafe", 0),
    "/spec/": ("safe", 1),
}
INITIAL_SERVICES_BY_PREFIX = {
    "/lookup/": ("dispatch",),
    "/book/": ("dispatch",),
    "/report/": ("stock",),
    "/order/": ("stock",),
    "/spec/": ("stock",),
}
# Routes that later configurations add; the oldest are removed beyond this number.
MAX_ADDED_PREFIXES = 4
READY_TIMEOUT_S = 60.0
# Timeout for a daemon's answer about its state, in s.
ANSWER_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1
# A longer delay of the event loop counts as a disturbance, because it distorts the
# measured times.
MAX_EVENT_LOOP_DELAY_S = 0.15


class Instance:
    """An instance with its backend server, its daemon and their proxies.

    :param spec: the location and service of the instance.
    :param folder: the folder for settings and logs.
    :param seeds: the instances that the daemon contacts first when it starts.
    :param history: the records of the run.
    :param rng: the source of randomness of the backend server.
    """

    def __init__(self, spec, folder, seeds, history, rng):
        self.spec: layout.InstanceSpec = spec
        self.backend = backends.BackendServer(
            spec, f"{spec.name}-a", SLOTS, history, rng
        )
        self.daemon = daemons.Daemon(spec, folder, seeds, history)
        self.proxies_by_port = {
            port: proxy.Proxy(spec.published_ip, spec.listen_ip, port)
            for port in (layout.FRONT_PORT, layout.INNER_PORT, layout.BACKEND_PORT)
        }
        self.proxies_by_port[layout.STORE_PORT] = proxy.Proxy(
            spec.store_ip, layout.store_host(spec.subnet), layout.STORE_PORT
        )
        self.generation = 0

    def change_service(self) -> None:
        """Give the address of the backend server to the other service.

        The settings of the daemon name it at once.
        """
        first, second = layout.SERVICES
        self.spec.service = second if self.spec.service == first else first
        self.daemon.write_settings()

    def new_endpoint_id(self) -> str:
        """Return an endpoint id that hasn't been used before."""
        self.generation += 1
        return f"{self.spec.name}-{self.generation}"


class Deployment:
    """All processes, servers and callers of a run, and its records.

    :param instances: the number of instances.
    :param subnet: the second octet of their IP addresses.
    :param folder: the folder for settings and logs.
    :param seed: the seed of the requests and the service times.
    """

    def __init__(self, instances: int, subnet: int, folder: pathlib.Path, seed: int):
        self.history = records.History()
        self.store = kv_store.KeyValueStore(
            layout.store_host(subnet), layout.STORE_PORT
        )
        specs = layout.make_instance_specs(instances, subnet)
        self.instances_by_number = {
            spec.number: Instance(
                spec,
                folder,
                specs[:3],
                self.history,
                random.Random(f"{seed}/backend/{spec.number}"),
            )
            for spec in specs
        }
        self.callers = [
            kind(
                instance.spec,
                self.history,
                random.Random(f"{seed}/caller/{number}/{index}"),
                lambda daemon=instance.daemon: daemon.boot_count,
                self._added_prefixes,
            )
            for number, instance in self.instances_by_number.items()
            for index, kind in enumerate(CALLERS_OF_INSTANCE)
        ]
        self._version = 0
        self._services_by_prefix = dict(INITIAL_SERVICES_BY_PREFIX)
        self._tasks: list[asyncio.Task] = []

    # -----------------------------------------------------------------------
    #   Start and stop
    # -----------------------------------------------------------------------

    async def start(self) -> None:
        """Start everything and wait until every daemon is ready.

        :raises errors.SavoryhollowError: if a daemon isn't ready in time.
        """
        await self.store.start()
        self.publish()
        for instance in self.instances_by_number.values():
            for one in instance.proxies_by_port.values():
                await one.start()
            await instance.backend.start()
            self.register(instance)
            instance.daemon.start()
        await self._await_ready()
        self._tasks.append(asyncio.create_task(monitor_event_loop(self.history)))
        self._tasks += [asyncio.create_task(one.run()) for one in self.callers]

    async def stop_callers(self) -> None:
        """Stop all callers; their open requests are recorded as abandoned."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Stop all processes and close all ports."""
        instances = self.instances_by_number.values()
        await asyncio.gather(*(one.daemon.stop() for one in instances))
        for instance in instances:
            instance.backend.stop()
            for one in instance.proxies_by_port.values():
                one.close()
        self.store.close()

    async def find_readers(self, region: str) -> list[Instance]:
        """Return the instances whose daemons read the store for a region."""
        return [
            instance
            for instance in self.instances_by_number.values()
            if instance.spec.region == region and await _reads_store(instance.spec)
        ]

    async def _await_ready(self) -> None:
        until = self.history.now + READY_TIMEOUT_S
        for instance in self.instances_by_number.values():
            while not await _is_ready(instance.spec):
                if self.history.now > until:
                    text = f"{instance.spec.name} isn't ready in time; read its log"
                    raise errors.SavoryhollowError(text)
                await asyncio.sleep(POLL_INTERVAL_S)

    # -----------------------------------------------------------------------
    #   Configuration and entries
    # -----------------------------------------------------------------------

    def publish(self, extra_routes: int = 0, timeout_s: float = 3.0) -> None:
        """Publish the next configuration.

        Each one but the first adds a route. Beyond ``MAX_ADDED_PREFIXES`` the oldest
        added route is removed.

        :param extra_routes: the number of further routes, in this configuration only.
        :param timeout_s: the timeout of the routes, in s.
        """
        self._version += 3
        service = layout.SERVICES[self._version % len(layout.SERVICES)]
        if self._version > 3:
            self._services_by_prefix[f"/v{self._version}/"] = (service,)
        for prefix in self._added_prefixes()[:-MAX_ADDED_PREFIXES]:
            del self._services_by_prefix[prefix]
        services = dict(self._services_by_prefix)
        for number in range(extra_routes):
            services[f"/many/{number}/"] = ("dispatch",)
        document = _configuration(self._version, services, timeout_s)
        configuration = records.Configuration(
            self._version,
            self.history.now,
            {prefix: frozenset(names) for prefix, names in services.items()},
        )
        self.history.configurations.append(configuration)
        self.store.put(CONFIGURATION_KEY, document)

    def _added_prefixes(self) -> list[str]:
        return [
            prefix for prefix in self._services_by_prefix if prefix.startswith("/v")
        ]

    def register(self, instance: Instance, state: str = "ready") -> None:
        """Write the entry of the backend server of an instance to the store.

        :param instance: the instance.
        :param state: the state of the backend server.
        """
        spec = instance.spec
        entry = {
            "service": instance.backend.service,
            "address": f"{spec.published_ip}:{layout.BACKEND_PORT}",
            "zone": spec.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_s": 0,
            "seq": 1,
        }
        self.store.put(self.entry_key(instance), entry)

    def entry_key(self, instance: Instance) -> str:
        """Return the key of the entry of the backend server of an instance."""
        return ENTRY_PREFIX + instance.backend.endpoint_id


async def monitor_event_loop(history: records.History) -> None:
    """Record each delay of the event loop as a disturbance; runs until cancelled."""
    while True:
        before = history.now
        await asyncio.sleep(POLL_INTERVAL_S)
        delay_s = history.now - before - POLL_INTERVAL_S
        if delay_s > MAX_EVENT_LOOP_DELAY_S:
            # What is handled first after the delay was held up by it as well.
            disturbance = records.Disturbance(
                "event loop delayed", None, before, history.now
            )
            history.disturbances.append(disturbance)


def _configuration(version: int, services_by_prefix, timeout_s: float) -> dict:
    rules = []
    for prefix, services in services_by_prefix.items():
        kind, priority = SEMANTICS_BY_PREFIX.get(prefix, ("safe", 1))
        action = {"service": services[0], "timeout_s": timeout_s, "max_attempts": 3}
        rules.append(
            {
                "name": f"r{prefix.replace('/', '-')}",
                "kind": kind,
                "target_latency_s": 0.6,
                "priority": priority,
                "match": {"prefix": prefix},
                "action": action,
            }
        )
    return {
        "version": version,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 8 << 20,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "listeners": [{"host": callers.HOST, "rules": rules}],
        "clusters": [
            {"name": service, "health_path": backends.HEALTH_PATH}
            for service in layout.SERVICES
        ],
    }


async def _is_ready(spec: layout.InstanceSpec) -> bool:
    path = callers.DIALECT.readiness_path
    return b" 200 " in await _get(spec.listen_ip, layout.READINESS_PORT, path)


async def _reads_store(spec: layout.InstanceSpec) -> bool:
    dump = await _get(spec.listen_ip, layout.METRICS_PORT, "/dump")
    return b'"reads_platform":true' in dump


async def _get(host: str, port: int, path: str) -> bytes:
    """Return a response with its head; empty if the daemon can't be asked."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return b""
    request = f"GET {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n"
    writer.write(request.encode())
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await reader.read()
    except (OSError, TimeoutError):
        # A daemon that is stopped or paused is neither ready nor a reader.
        return b""
    finally:
        writer.close()
