"""Create, connect, start and stop the components of a daemon."""

import contextlib
import random
import secrets
import time
import urllib.parse

from savoryhollow import webserver
from savoryhollow.admission import gate as gate_module
from savoryhollow.admission import queueing, rank_queues
from savoryhollow.backend import client as backend_client
from savoryhollow.budgets import links
from savoryhollow.configuration import models
from savoryhollow.daemon import dump
from savoryhollow.front import service as front_service
from savoryhollow.membership import table
from savoryhollow.observe import (
    events,
    metrics,
    operator_port,
    placements,
    process_stats,
    requests,
    runs,
)
from savoryhollow.recovery import register, retrying
from savoryhollow.routing import cross_region, limiting, peers, placement, router
from savoryhollow.settings import models as settings_models
from savoryhollow.store import client as store_client
from savoryhollow.store import following, topology
from savoryhollow.wire import messages, server

__all__ = ["Daemon"]

# Random bytes in an incarnation.
INCARNATION_BYTES = 8
# Threads of the operator port.
OPERATOR_THREADS = 2


class Daemon:
    """The router and the gate of one instance, with their servers.

    :param settings: the settings of the daemon.
    :param run_backend: a function that runs admitted calls. If None, calls are
        sent to the port of the backend server.
    """

    def __init__(
        self,
        settings: settings_models.DaemonSettings,
        run_backend: gate_module.RunBackend | None = None,
    ):
        self.settings = settings
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.members = table.MemberTable()
        self.placements = placements.PlacementLog(settings.placement_records)
        self.runs = runs.RunLog(settings.placement_records)
        self.requests = requests.RequestTotals()
        self._was_listed = False
        self.lag_meter = process_stats.LagMeter()
        hello = messages.HelloMessage(
            messages.PROTOCOL_VERSION, settings.endpoint_id, self.incarnation
        )
        self._build_gate(run_backend)
        self._build_router(hello)
        self._build_follower(hello)
        self._build_servers(hello)

    def start(self) -> None:
        """Start the servers and begin to follow the platform."""
        self.router.pauses.start()
        self._inner_server.start()
        self.follower.start()
        self._operator_server.start()
        self.lag_meter.start()
        self._front_server.start()
        events.emit(
            events.Event.DAEMON_STARTED,
            endpoint_id=self.settings.endpoint_id,
            incarnation=self.incarnation,
            front_port=self._front_server.port,
            inner_port=self._inner_server.port,
            operator_port=self._operator_server.port,
        )

    def stop(self) -> bool:
        """Finish the requests in progress, then close every port and connection.

        :returns: True if every request ended within the drain limit.
        """
        events.emit(events.Event.DAEMON_STOPPING)
        deadline = time.monotonic() + self.settings.drain_limit_ms / 1000
        self.gate.leave()
        self._inner_server.announce_leaving()
        # Requests of callers may be in progress here and run on other endpoints.
        self._front_server.stop()
        drained = self.gate.drain(deadline)
        drained = self._inner_server.stop(deadline) and drained
        self.follower.stop()
        self.connections.close()
        self.lag_meter.stop()
        self.router.pauses.stop()
        self._operator_server.stop()
        self._backend.close()
        events.emit(events.Event.DAEMON_STOPPED, drained=drained)
        return drained

    # -----------------------------------------------------------------------
    #   Components
    # -----------------------------------------------------------------------

    def _build_gate(self, run_backend: gate_module.RunBackend | None) -> None:
        settings = self.settings
        self._backend = backend_client.BackendClient(
            settings.backend.host, settings.backend.port, settings.max_body_bytes
        )
        self._queue = queueing.AdmissionQueue(settings.slots, 0, {})
        self.outcomes = register.OutcomeRegister()
        run_with_headers = retrying.with_allowance_headers(
            run_backend or self._backend.run
        )
        run = self.runs.observe(run_with_headers)
        self.gate = gate_module.Gate(self._queue, self.outcomes, run)
        self._backend.may_send = lambda: not self.gate.has_backend_left

    def _build_router(self, hello: messages.HelloMessage) -> None:
        settings = self.settings
        location = placement.Location(
            settings.endpoint_id, settings.region, settings.zone
        )
        self.connections = peers.PeerConnections(hello)
        self.link_budgets = links.LinkBudgets(
            lambda: self.members.size, time.monotonic()
        )
        policy = placement.make_policy(settings.placement, location, random.Random())
        self.router = router.Router(
            location,
            self.incarnation,
            self.members,
            self.connections,
            self.gate,
            policy,
            self._record_placement,
            cross_region.LinkGuard(settings.region, self.link_budgets),
        )
        self._limited_route = limiting.LimitedRoute(
            settings.front_threads, self.router.route
        )
        self.route = self.requests.observe(self._limited_route.route)

    def _build_follower(self, hello: messages.HelloMessage) -> None:
        settings = self.settings
        self.store = store_client.StoreClient(
            settings.store.host, settings.store.port, settings.region
        )
        location = topology.Location(
            settings.endpoint_id, settings.region, settings.zone
        )
        self.follower = following.Follower(
            location,
            self.store,
            hello,
            self.members,
            self._configure,
            self._follow_list,
        )

    def _build_servers(self, hello: messages.HelloMessage) -> None:
        settings = self.settings
        with contextlib.ExitStack() as opened:
            # A server has threads as soon as it is created, which keep the process from
            # ending if the next port can't be opened.
            self._inner_server = server.InnerServer(
                settings.inner.host,
                settings.inner.port,
                hello,
                self.gate,
                self._answer_control_message,
            )
            opened.callback(self._inner_server.stop, time.monotonic())
            self._front_server = self._build_front_server()
            opened.callback(self._front_server.stop)
            self._operator_server = self._build_operator_server()
            opened.pop_all()

    def _build_front_server(self) -> webserver.WebServer:
        settings = self.settings
        return webserver.WebServer(
            settings.front.host,
            settings.front.port,
            settings.front_threads,
            settings.max_body_bytes,
            front_service.make_handler(
                lambda: self.router.configuration,
                self.route,
                self.router.redeem,
            ),
        )

    def _build_operator_server(self) -> webserver.WebServer:
        settings = self.settings
        return webserver.WebServer(
            settings.operator.host,
            settings.operator.port,
            OPERATOR_THREADS,
            settings.max_body_bytes,
            operator_port.make_handler(
                {
                    "/dump": lambda _: dump.dump_daemon(self),
                    "/placements": lambda _: self.placements.totals(),
                    "/metrics": lambda _: self._render_metrics(),
                    "/trace": self._trace_request,
                }
            ),
        )

    def _answer_control_message(
        self, message: messages.Message, connection: register.Connection
    ) -> messages.Message | None:
        answer = self.follower.publications.answer(message)
        if answer is not None:
            return answer
        return self.gate.answer_control_message(message, connection)

    def _follow_list(self) -> None:
        """Close the gate while the local backend server leaves or is gone.

        One that isn't listed yet gets requests: its routers may know more.
        """
        settings = self.settings
        for endpoint in self.members.endpoints(settings.service):
            if endpoint.endpoint_id == settings.endpoint_id:
                self._was_listed = True
                self.gate.follow_list(endpoint.state is table.EndpointState.LEAVING)
                return
        self.gate.follow_list(self._was_listed)

    def _configure(self, configuration: models.Configuration) -> None:
        self.link_budgets.configure(configuration, time.monotonic())
        self._limited_route.configure(configuration)
        self.router.configure(configuration)
        own = configuration.services.get(self.settings.service)
        if own is not None:
            rules_by_rank = {
                name: rank_queues.RankRule(rank.order, rank.floor, rank.worth)
                for name, rank in own.ranks.items()
            }
            self.gate.configure(own.queue_limit, rules_by_rank)

    # -----------------------------------------------------------------------
    #   Responses to operators and placement records
    # -----------------------------------------------------------------------

    def _record_placement(self, record: placements.PlacementRecord) -> None:
        self.placements.add(record)
        if events.is_logged(events.Event.REQUEST_PLACED):
            events.emit(
                events.Event.REQUEST_PLACED, placement=dump.to_json_value(record)
            )

    def _render_metrics(self) -> operator_port.TextResponse:
        body = metrics.render(dump.make_metrics_snapshot(self))
        return operator_port.TextResponse(metrics.CONTENT_TYPE, body)

    def _trace_request(self, url: urllib.parse.SplitResult) -> dict:
        request_id = urllib.parse.parse_qs(url.query).get("id", [""])[0]
        return dump.trace_request(self, request_id)
