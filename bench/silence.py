"""Measure requests on silent connections, and the cost of detecting them.

A silent connection is open but transfers no data.
"""

import concurrent.futures
import json
import statistics
import sys
import time

import urllib3

from emulator import deployment, plans
from savoryhollow.wire import channel, messages, multiplexing, server

# Rounds in which the open connections go silent, and concurrent bookings per round.
ROUNDS = 10
BOOKINGS_PER_ROUND = 4
DEADLINE_MS = 3000
# Run times of the two calls in the measurement of bytes, in ms.
SHORT_MS = 50
LONG_MS = 2050
# Time for the list to arrive and for a call to end, in s.
TIMEOUT_S = 10.0

RANKS = {"booking": {"order": 0}}
PLAN = plans.DeploymentPlan(
    name="silence",
    regions=("east", "west"),
    zones_per_region=1,
    services=(plans.ServicePlan("dispatch", 2, 20.0),),
    store_region="east",
    files={
        "10.json": json.dumps({"services": {"dispatch": {"share": 1, "ranks": RANKS}}})
    },
    delay_ms=5.0,
)


def main() -> int:
    """Run the measurements and print the results.

    :returns: the exit status.
    """
    with deployment.Deployment(PLAN) as running:
        _publish_leaving_instance(running)
        local_instance = running.instances_by_id["dispatch-0"]
        url = running.front_url(local_instance) + "/work"
        _send_booking(url)
        _print_recovery(running, url)
    _print_ping_bytes()
    return 0


def _publish_leaving_instance(running: deployment.Deployment) -> None:
    lists_by_region = {
        r: running.instance_list(r, dispatch_0="leaving") for r in PLAN.regions
    }
    running.control_platform(instances_by_region=lists_by_region, list_revision=2)
    deadline = time.monotonic() + TIMEOUT_S
    for instance in running.instances_by_id.values():
        while running.dump(instance)["list_revision"] < 2:
            if time.monotonic() > deadline:
                raise TimeoutError(
                    "a daemon did not receive the instance list in time; run the"
                    " benchmark again"
                )
            time.sleep(0.05)


def _send_booking(url: str) -> tuple[str, float]:
    headers = {
        "Savoryhollow-Service": "dispatch",
        "Savoryhollow-Rank": "booking",
        "Savoryhollow-Deadline-Ms": str(DEADLINE_MS),
    }
    started = time.monotonic()
    response = urllib3.request("POST", url, headers=headers, retries=False)
    return response.headers["Savoryhollow-Outcome"], time.monotonic() - started


def _print_recovery(running: deployment.Deployment, url: str) -> None:
    times_ms = []
    outcomes: dict[str, int] = {}
    remote_instance = running.instances_by_id["dispatch-1"]
    running.control_backend(remote_instance, service_ms=100, spread=0.0)
    with concurrent.futures.ThreadPoolExecutor(BOOKINGS_PER_ROUND) as pool:
        for number in range(ROUNDS):
            # In half of the rounds the connections go silent before the calls, in the
            # others during the calls.
            during_calls = number % 2 == 1
            if not during_calls:
                _silence_connections(running)
            futures = [
                pool.submit(_send_booking, url) for _ in range(BOOKINGS_PER_ROUND)
            ]
            if during_calls:
                time.sleep(0.05)
                _silence_connections(running)
            for future in futures:
                outcome, duration_s = future.result()
                outcomes[outcome] = outcomes.get(outcome, 0) + 1
                times_ms.append(duration_s * 1000)
            _send_booking(url)
    print(
        f"silent connections, {ROUNDS} rounds of"
        f" {BOOKINGS_PER_ROUND} bookings of 100 ms:"
    )
    print(f"  outcomes: {outcomes}")
    print(f"  answered after: median {statistics.median(times_ms):.0f} ms", end=", ")
    print(f"longest {max(times_ms):.0f} ms")


def _silence_connections(running: deployment.Deployment) -> None:
    connections = running.control_link()["connections"]
    running.control_link(silent_before=connections)


# ---------------------------------------------------------------------------
#   Bytes of pings
# ---------------------------------------------------------------------------


class _SlowService:
    """Serves each call after a delay in ms, which is the path of the call."""

    def open_connection(self, session, number, close):
        return None

    def close_connection(self, connection):
        return None

    def stop_accepting(self, connection):
        return None

    def begin(self, call, connection):
        load = messages.LoadReport(0, 0, 1, 0, False)

        def serve():
            time.sleep(int(call.path) / 1000)
            return messages.ServedMessage(call.request_id, 200, (), b"", load)

        return serve


def _print_ping_bytes() -> None:
    hello = messages.HelloMessage(messages.PROTOCOL_VERSION, "bench", "0", 1)
    inner_server = server.InnerServer(
        "127.0.0.1", 0, hello, _SlowService(), lambda message, connection: None
    )
    inner_server.start()
    client_channel, peer = channel.connect("127.0.0.1", inner_server.port, hello)
    client_connection = multiplexing.MultiplexedConnection(client_channel, hello, peer)
    used_bytes = []
    for wait_ms in (SHORT_MS, LONG_MS):
        fields = ("r", "s", "k", "c", 1, False, 0, 1, "GET", f"{wait_ms:04}", (), b"")
        bytes_before = client_connection.bytes_total
        client_connection.request(
            messages.CallMessage(*fields), time.monotonic() + TIMEOUT_S
        )
        used_bytes.append(client_connection.bytes_total - bytes_before)
    client_channel.close()
    inner_server.stop(time.monotonic() + TIMEOUT_S)
    ping_bytes_per_s = (used_bytes[1] - used_bytes[0]) * 1000 / (LONG_MS - SHORT_MS)
    print(f"one call, too short for a ping: {used_bytes[0]} bytes")
    print(f"pings during a call, both directions: {ping_bytes_per_s:.0f} bytes/s")


if __name__ == "__main__":
    sys.exit(main())
