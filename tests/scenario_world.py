"""What the steps of the scenarios act on: a deployment and its bookings."""

import concurrent.futures
import dataclasses
import json
import signal
import threading
import time

import urllib3

from emulator import deployment, plans

RANKS = {"lookup": {"order": 0, "idempotent": True}, "booking": {"order": 1}}
PLAN = plans.DeploymentPlan(
    name="scenario",
    regions=("east", "west"),
    zones_per_region=1,
    services=(plans.ServicePlan("dispatch", 2, 5.0),),
    store_region="east",
    files={
        "10.json": json.dumps({"services": {"dispatch": {"share": 1, "ranks": RANKS}}})
    },
    slots=2,
    delay_ms=5.0,
)
# Limit for anything to come about, in s.
LIMIT_S = 20.0
TICKET = "Savoryhollow-Ticket"


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got."""

    outcome: str
    request_id: str
    ticket: str
    body: bytes
    status: int


class World:
    """One deployment under faults."""

    def __init__(self, **daemon_settings):
        self.deployment = deployment.Deployment(
            PLAN, "round-robin", front_threads=16, **daemon_settings
        )
        self.deployment.start()
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.bookings = []
        self.streams = []
        self.came_by_id = {}
        self.coming = threading.Event()
        self.list_revision = 1

    def stop(self):
        self.coming.set()
        self.pool.shutdown(cancel_futures=True)
        # What a stop must do has scenarios of its own; others need not wait.
        for process in self.deployment.processes_by_name.values():
            process.kill()
        self.deployment.stop()

    def instance(self, endpoint_id):
        return self.deployment.instances_by_id[endpoint_id]

    # ------------------------------------------------------------------
    #   Bookings
    # ------------------------------------------------------------------

    def ask(self, endpoint_id, deadline_ms=1500, **more):
        url = self.deployment.front_url(self.instance(endpoint_id)) + "/work"
        headers = {
            "Savoryhollow-Service": "dispatch",
            "Savoryhollow-Rank": "booking",
            "Savoryhollow-Deadline-Ms": str(deadline_ms),
        } | more
        got = urllib3.request(
            "POST", url, headers=headers, retries=False, timeout=LIMIT_S + 10
        )
        named = (f"Savoryhollow-{name}" for name in ("Outcome", "Request-Id", "Ticket"))
        return Answer(
            *(got.headers.get(name, "") for name in named), got.data, got.status
        )

    def send(self, endpoint_id, deadline_ms=1500):
        self.bookings.append(self.pool.submit(self.ask, endpoint_id, deadline_ms))

    def keep_sending(self, endpoint_id):
        came = self.came_by_id.setdefault(endpoint_id, [])

        def send_all():
            while not self.coming.wait(0.01):
                came.append(self.ask(endpoint_id))

        self.streams += [self.pool.submit(send_all) for _ in range(4)]

    def stop_sending(self):
        """Return every answer that came, once the last has come."""
        self.coming.set()
        for stream in self.streams:
            stream.result(LIMIT_S)
        return [answer for came in self.came_by_id.values() for answer in came]

    def answers(self):
        return [booking.result(LIMIT_S + 10) for booking in self.bookings]

    def runs(self, request_id):
        total = 0
        for instance in self.deployment.instances_by_id.values():
            if instance.backend.poll() is None:
                for attempt_id, count in self.deployment.run_counts(instance).items():
                    total += count * (attempt_id.rpartition(".")[0] == request_id)
        return total

    def total(self, endpoint_id):
        return sum(self.deployment.run_counts(self.instance(endpoint_id)).values())

    # ------------------------------------------------------------------
    #   Faults
    # ------------------------------------------------------------------

    def list_as(self, state, endpoint_id):
        self.list_revision += 1
        states = {endpoint_id.replace("-", "_"): state}
        self.deployment.control_platform(
            instances_by_region={
                region: self.deployment.instance_list(region, **states)
                for region in PLAN.regions
            },
            list_revision=self.list_revision,
        )

    def await_list(self):
        for instance in self.deployment.instances_by_id.values():
            await_true(
                lambda i=instance: (
                    self.deployment.dump(i)["list_revision"] == self.list_revision
                )
            )

    def link_count(self):
        return self.deployment.control_link()["connections"]

    def signal(self, endpoint_id, number):
        daemon = self.instance(endpoint_id).daemon
        daemon.send_signal(number)
        if number == signal.SIGSTOP:
            await_true(lambda: _state(daemon.pid) == "T")


def _state(pid):
    with open(f"/proc/{pid}/stat") as stat:
        return stat.read().rpartition(")")[2].split()[0]


def await_true(condition, limit_s=LIMIT_S):
    """Wait until a condition holds."""
    until = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < until, "it did not come about"
        time.sleep(0.01)
