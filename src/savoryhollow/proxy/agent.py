"""Assemble the event-loop daemon from its components, and run it."""

import asyncio
import collections.abc
import dataclasses
import functools
import random
import secrets
import socket

import msgspec

from savoryhollow import calls
from savoryhollow.configuration import routes
from savoryhollow.http1 import backends, body_budget, callers
from savoryhollow.http1 import messages as http
from savoryhollow.membership import directory, table
from savoryhollow.observe import events
from savoryhollow.proxy import (
    backend_runner,
    front,
    inner,
    links,
    load_reports,
    options,
    ports,
    readers,
    relay,
    request_metrics,
    router,
    state,
    stopping,
    tasks,
)
from savoryhollow.proxy import dialect as dialect_module
from savoryhollow.proxy import gate as gate_module
from savoryhollow.routing import nearby, placement
from savoryhollow.wire import messages, packing

__all__ = ["Agent"]

# Interval between checks of the membership and the links, in s.
UPKEEP_INTERVAL_S = 0.1
# Room in a message for everything but the body, in bytes.
MESSAGE_MARGIN_BYTES = 1 << 20
# Random bytes in the id of one run of this process.
INCARNATION_BYTES = 8
# Paths on the metrics address.
METRICS_PATH = "/metrics"
DUMP_PATH = "/dump"


class Agent:
    """The daemon beside one backend server, running on an event loop.

    :param settings: the settings of the process.
    :param dialect: the HTTP header names and paths that the platform uses.
    :param on_items: called with the items that the platform has published.
    """

    def __init__(
        self,
        settings: options.AgentSettings,
        dialect: dialect_module.Dialect,
        on_items: collections.abc.Callable[[list[messages.PublishedItem]], None],
    ):
        self.settings = settings
        self._dialect = dialect
        self._clock = asyncio.get_running_loop().time
        self._dictionary = packing.make_dictionary(dialect.header_names)
        self.members = directory.Directory()
        self.replica = relay.Replica(on_items, self._record_source_contact)
        self.request_metrics = request_metrics.RequestMetrics()
        self.stopping = False
        self._own_endpoint_was_listed = False
        self._applied_generation = -1
        pool = backends.Pool(settings.backend.host, settings.backend.port)
        self.runner = backend_runner.BackendRunner(dialect, pool)
        self.gate = gate_module.Gate(self.runner, self._clock, self.resolve_endpoint_id)
        self.router = self._build_router()
        self.front = front.Front(
            dialect,
            settings.service,
            self.router.route,
            self.request_metrics,
            self._clock,
        )
        self._caller_server = self._build_caller_server()
        self._readiness_server = callers.Server(self._answer_readiness)
        self._metrics_server = callers.Server(self._answer_metrics)
        self._inner_port = self._build_inner_port()
        self.readers = readers.Readers(
            settings,
            self.members,
            self.replica,
            self.router,
            self._inner_port,
            self._clock,
        )
        self._reporter = load_reports.LoadReporter(
            self.gate, self._inner_port, self._clock
        )
        self.runner.on_load = self._reporter.handle_load
        self.runner.may_send = lambda: not self.gate.leaving
        self._tasks: list[asyncio.Task[None]] = []
        self._moving_ports = ports.MovingPorts(
            {"front": self._caller_server, "readiness": self._readiness_server}
        )

    def _build_caller_server(self) -> callers.Server:
        server = callers.Server(self.front.handle)
        server.request_id_header = self._dialect.request_id
        server.on_rejected = self.front.record_rejected
        server.on_lost = self.front.record_lost
        memory_bytes = self.settings.body_memory_bytes
        server.body_budget = body_budget.BodyBudget(memory_bytes)
        return server

    def _build_inner_port(self) -> inner.InnerPort:
        return inner.InnerPort(
            self.gate,
            router.MAX_FORWARDED_BODY_BYTES + MESSAGE_MARGIN_BYTES,
            self.replica,
            self._clock,
            self._dictionary,
        )

    def _build_router(self) -> router.Router:
        settings = self.settings
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        location = placement.Location("", settings.region, settings.zone)

        def open_link(endpoint_id: str, host: str, port: int) -> links.Link:
            endpoint = self.members.endpoints_by_host.get(host)
            is_in_own_zone = endpoint is not None and endpoint.zone == settings.zone
            report_interval_s = 0.0
            if endpoint is not None and endpoint.region == settings.region:
                report_interval_s = (
                    load_reports.OWN_ZONE_INTERVAL_S
                    if is_in_own_zone
                    else load_reports.OTHER_ZONE_INTERVAL_S
                )
            hello = messages.HelloMessage(
                messages.PROTOCOL_VERSION,
                settings.instance,
                incarnation,
                report_interval_ms=round(1000 * report_interval_s),
            )
            link_settings = links.LinkSettings(
                hello,
                router.MAX_FORWARDED_BODY_BYTES + MESSAGE_MARGIN_BYTES,
                self.router.record_report,
                lambda message: self.replica.receive(message, self._clock(), host),
                lambda: self.replica.as_of,
                self._dictionary,
                packs_requests=not is_in_own_zone,
            )
            return links.Link(endpoint_id, host, port, link_settings)

        return router.Router(
            location,
            settings.backend.host,
            self.members,
            self.gate,
            nearby.LocalityPolicy(location, random.Random()),
            settings.retry_rules,
            open_link,
            self._clock,
        )

    @property
    def now(self) -> float:
        """The current time of the event loop, in s."""
        return self._clock()

    # -----------------------------------------------------------------------
    #   Lifecycle
    # -----------------------------------------------------------------------

    async def start(
        self,
        front_socket: socket.socket | None = None,
        listening_since: float | None = None,
    ) -> None:
        """Open all ports and start the background tasks.

        :param front_socket: a socket that already listens for callers; if None,
            a new one is opened.
        :param listening_since: the time since which it has been listening.
        """
        settings = self.settings
        await ports.open_port(
            lambda: self._readiness_server.start(
                settings.readiness.host, settings.readiness.port
            ),
            settings.stop_limit_s,
        )
        await self._start_metrics_server()
        await ports.open_port(
            lambda: self._caller_server.start(
                settings.front.host, settings.front.port, front_socket, listening_since
            ),
            settings.stop_limit_s,
        )
        # Other daemons are served once nothing is waited for any more.
        for address in settings.inner:
            await ports.open_port(
                functools.partial(self._inner_port.start, address.host, address.port),
                settings.stop_limit_s,
            )
        self._tasks.append(tasks.spawn_supervised("publish", self._reporter.run))
        self._tasks.append(tasks.spawn_supervised("run_upkeep", self._run_upkeep))
        self._tasks.append(
            tasks.spawn_supervised("poll_pace_in_spells", self.gate.poll_pace_in_spells)
        )
        self._tasks.append(
            tasks.spawn_supervised("follow_readers", self.readers.follow)
        )
        events.emit(
            events.Event.DAEMON_STARTED,
            service=settings.service,
            zone=settings.zone,
            front_port=settings.front.port,
            inner_port=settings.inner[0].port,
        )

    async def _start_metrics_server(self) -> None:
        address = self.settings.metrics
        try:
            await self._metrics_server.start(address.host, address.port)
        except OSError as error:
            # Serving callers is more important than metrics.
            tasks.log_failure("metrics", error)

    async def stop(self, requested_at: float | None = None) -> bool:
        """Finish the requests in progress and close all ports.

        :param requested_at: the time at which the stop was requested; None for now.
        :returns: True if all requests ended within the stop limit.
        """
        events.emit(events.Event.DAEMON_STOPPING)
        self.stopping = True
        earlier = self.request_metrics.endings.copy()
        drained = await stopping.finish_requests(
            self.now if requested_at is None else requested_at,
            self.settings.stop_limit_s,
            self._caller_server,
            self.front,
            self.gate,
            self._reporter,
            self._inner_port,
        )
        self._moving_ports.cancel()
        for task in self._tasks:
            task.cancel()
        self._caller_server.report_unfinished()
        endings = dict(self.request_metrics.endings - earlier)
        events.emit(events.Event.DAEMON_STOPPED, drained=drained, endings=endings)
        return drained

    async def reconfigure(self, settings: options.AgentSettings) -> list[str]:
        """Apply new settings.

        :returns: the names of the settings that changed.
        """
        old_settings, self.settings = self.settings, settings
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(old_settings, field.name) != getattr(settings, field.name)
        ]
        self.front.service = settings.service
        self.readers.settings = settings
        self.router.set_retry_rules(settings.retry_rules)
        if "backend" in changed or "service" in changed:
            # Another endpoint runs here now, and it needs time to be listed.
            self._own_endpoint_was_listed = False
            self._applied_generation = -1
        if "backend" in changed:
            self.runner.change_address(settings.backend.host, settings.backend.port)
        self._moving_ports.move(
            {"front": settings.front, "readiness": settings.readiness}
        )
        return changed

    # -----------------------------------------------------------------------
    #   Configuration and membership
    # -----------------------------------------------------------------------

    def configure(self, route_table: routes.RouteTable) -> bool:
        """Apply a route table if it is newer than the current one.

        :returns: True if the table was applied.
        """
        if (
            self.front.table is not None
            and route_table.version <= self.front.table.version
        ):
            return False
        self.front.configure(route_table)
        self.router.add_services(route_table.services)
        path = route_table.health_paths_by_service.get(self.settings.service)
        self.runner.probe_path = path or self.runner.probe_path
        limits = route_table.limits
        self._caller_server.limits = callers.Limits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )
        events.emit(
            events.Event.CONFIGURATION_IN_FORCE,
            revision=route_table.version,
            source=self.replica.source,
            confirmed_age_ms=self.replica.confirmed_age_ms(self.now),
        )
        return True

    def find_own_endpoint(self) -> directory.KnownEndpoint | None:
        """Return the listed endpoint of the local backend server, or None."""
        return self.members.find(self.settings.backend.host, self.settings.service)

    def resolve_endpoint_id(self, service: str) -> str | None:
        """Return the id of the endpoint that runs a service's requests here.

        Only the endpoint list tells to which service the endpoint that responds at
        the local address belongs. The settings may be outdated: the address is given
        to another service some time after the endpoint has ended, and the process
        may have started in between.

        :returns: the id, or None if it isn't certain.
        """
        if service != self.settings.service:
            return None
        listed = self.find_own_endpoint()
        if listed is None or listed.endpoint_id != self.runner.endpoint_id:
            return None
        return listed.endpoint_id

    def _record_source_contact(self, in_contact: bool) -> None:
        if in_contact:
            self.members.mark_source_restored(self._clock())
        else:
            self.members.mark_source_lost(self._clock())

    async def _run_upkeep(self) -> None:
        while True:
            for endpoint_id in self.members.remove_due(self._clock()):
                events.emit(events.Event.ENDPOINT_REMOVED, endpoint_id=endpoint_id)
            if self.members.generation != self._applied_generation:
                self._applied_generation = self.members.generation
                self._apply_membership()
            self.router.check_links()
            await asyncio.sleep(UPKEEP_INTERVAL_S)

    def _apply_membership(self) -> None:
        self.router.update_endpoints()
        own_endpoint = self.find_own_endpoint()
        if own_endpoint is not None:
            self._own_endpoint_was_listed = True
            if own_endpoint.slots:
                self.gate.resize(own_endpoint.slots)
        if self._has_backend_left(own_endpoint):
            self.gate.leave()
        elif not self.stopping:
            self.gate.resume()

    def _has_backend_left(self, own_endpoint: directory.KnownEndpoint | None) -> bool:
        """Return whether the backend server leaves, or its entry is gone again."""
        if own_endpoint is None:
            return self._own_endpoint_was_listed
        return own_endpoint.state is table.EndpointState.LEAVING

    async def _answer_readiness(self, request: http.Request) -> http.Response:
        if request.target.partition("?")[0] != self._dialect.readiness_path:
            return http.Response(404)
        ready = self.front.table is not None and not self.stopping
        return http.Response(200 if ready else 503)

    async def _answer_metrics(self, request: http.Request) -> http.Response:
        path = request.target.partition("?")[0]
        if path == DUMP_PATH:
            return http.Response(200, (), msgspec.json.encode(state.dump(self)))
        if path != METRICS_PATH:
            return http.Response(404)
        content_type = calls.Header("Content-Type", "text/plain; version=0.0.4")
        return http.Response(200, (content_type,), state.render_metrics(self))
