"""The state that the scenario steps share: a deployment and its bookings."""

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
# Timeout of each wait for a condition, in s.
TIMEOUT_S = 20.0
TICKET = "Savoryhollow-Ticket"


@dataclasses.dataclass(frozen=True)
class Answer:
    """The response to a booking."""

    outcome: str
    request_id: str
    ticket: str
    body: bytes
    status: int


class World:
    """A deployment, the bookings sent to it and the faults injected."""

    def __init__(self, **daemon_settings):
        self.deployment = deployment.Deployment(
            PLAN, "round-robin", front_threads=16, **daemon_settings
        )
        self.deployment.start()
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.booking_futures = []
        self.sender_futures = []
        self.answers_by_endpoint_id = {}
        self.stop_requested = threading.Event()
        self.list_revision = 1

    def stop(self):
        self.stop_requested.set()
        self.pool.shutdown(cancel_futures=True)
        # Other scenarios test the orderly stop; killing the processes saves time.
        for process in self.deployment.processes_by_name.values():
            process.kill()
        self.deployment.stop()

    def instance(self, endpoint_id):
        return self.deployment.instances_by_id[endpoint_id]

    # ------------------------------------------------------------------
    #   Bookings
    # ------------------------------------------------------------------

    def call(self, endpoint_id, deadline_ms=1500, **extra_headers):
        url = self.deployment.front_url(self.instance(endpoint_id)) + "/work"
        headers = {
            "Savoryhollow-Service": "dispatch",
            "Savoryhollow-Rank": "booking",
            "Savoryhollow-Deadline-Ms": str(deadline_ms),
        } | extra_headers
        response = urllib3.request(
            "POST", url, headers=headers, retries=False, timeout=TIMEOUT_S + 10
        )
        names = (f"Savoryhollow-{name}" for name in ("Outcome", "Request-Id", "Ticket"))
        return Answer(
            *(response.headers.get(name, "") for name in names),
            response.data,
            response.status,
        )

    def send_booking(self, endpoint_id, deadline_ms=1500):
        self.booking_futures.append(
            self.pool.submit(self.call, endpoint_id, deadline_ms)
        )

    def keep_sending(self, endpoint_id):
        answers = self.answers_by_endpoint_id.setdefault(endpoint_id, [])

        def send_until_stopped():
            while not self.stop_requested.wait(0.01):
                answers.append(self.call(endpoint_id))

        self.sender_futures += [self.pool.submit(send_until_stopped) for _ in range(4)]

    def stop_sending(self):
        """Stop sending and return all answers after the last has arrived."""
        self.stop_requested.set()
        for future in self.sender_futures:
            future.result(TIMEOUT_S)
        return [
            answer
            for answers in self.answers_by_endpoint_id.values()
            for answer in answers
        ]

    def wait_for_answers(self):
        return [booking.result(TIMEOUT_S + 10) for booking in self.booking_futures]

    def count_runs(self, request_id):
        total = 0
        for instance in self.deployment.instances_by_id.values():
            if instance.backend.poll() is None:
                for attempt_id, count in self.deployment.run_counts(instance).items():
                    total += count * (attempt_id.rpartition(".")[0] == request_id)
        return total

    def count_runs_on(self, endpoint_id):
        return sum(self.deployment.run_counts(self.instance(endpoint_id)).values())

    # ------------------------------------------------------------------
    #   Faults
    # ------------------------------------------------------------------

    def list_instance_as(self, state, endpoint_id):
        self.list_revision += 1
        states = {endpoint_id.replace("-", "_"): state}
        self.deployment.control_platform(
            instances_by_region={
                region: self.deployment.instance_list(region, **states)
                for region in PLAN.regions
            },
            list_revision=self.list_revision,
        )

    def wait_for_list(self):
        for instance in self.deployment.instances_by_id.values():
            wait_until_true(
                lambda i=instance: (
                    self.deployment.dump(i)["list_revision"] == self.list_revision
                )
            )

    def count_link_connections(self):
        return self.deployment.control_link()["connections"]

    def signal_daemon(self, endpoint_id, signal_number):
        daemon = self.instance(endpoint_id).daemon
        daemon.send_signal(signal_number)
        if signal_number == signal.SIGSTOP:
            wait_until_true(lambda: _process_state(daemon.pid) == "T")


def _process_state(pid):
    with open(f"/proc/{pid}/stat") as stat:
        return stat.read().rpartition(")")[2].split()[0]


def wait_until_true(condition, timeout_s=TIMEOUT_S):
    """Wait until a condition holds.

    :raises AssertionError: if it does not hold within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.01)
