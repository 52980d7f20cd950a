"""Measure the cost of calling a daemon over HTTP: ``python -m bench.embedding``.

One caller makes calls back to back over each path in turn, so that changes of the
machine's load affect all paths alike.
"""

import collections.abc
import dataclasses
import http.client
import statistics
import time

from emulator import deployment, plans
from savoryhollow import calls, errors, library
from savoryhollow.settings import models

ROUNDS = 1500
WARM_UP_ROUNDS = 100
# Timeout of a call and of the start of the router, in s.
TIMEOUT_S = 10.0
HEADERS = {"Savoryhollow-Service": "dispatch", "Savoryhollow-Rank": "lookup"}

CallFunction = collections.abc.Callable[[], None]


class NotServedError(errors.SavoryhollowError):
    """A call was not served, so its response time must not be counted."""


def main() -> None:
    """Run the measurement and print the results."""
    services = tuple(
        plans.ServicePlan(name, 1, 0.0) for name in ("dispatch", "maintenance")
    )
    plan = dataclasses.replace(plans.COULEE, services=services)
    with deployment.Deployment(plan) as running:
        instance = running.instances_by_id["dispatch-0"]
        store = models.Target(running._store_host, deployment.STORE_PORT)
        settings = library.RouterSettings("bench", instance.region, "a", store)
        with library.EmbeddedRouter(settings) as router:
            router.await_ready(time.monotonic() + TIMEOUT_S)
            functions_by_path = {
                "straight to the backend server": _make_http_call(
                    instance.host, deployment.BACKEND_PORT
                ),
                "over HTTP to the daemon beside it": _make_http_call(
                    instance.host, deployment.FRONT_PORT
                ),
                "over HTTP to another daemon": _make_http_call(
                    running.instances_by_id["maintenance-0"].host,
                    deployment.FRONT_PORT,
                ),
                "embedded router": lambda: _call_embedded(router),
            }
            _print(_measure(functions_by_path))


def _measure(functions_by_path: dict[str, CallFunction]) -> dict[str, list[float]]:
    times_ms_by_path: dict[str, list[float]] = {name: [] for name in functions_by_path}
    for number in range(WARM_UP_ROUNDS + ROUNDS):
        for name, function in functions_by_path.items():
            started = time.perf_counter()
            function()
            if number >= WARM_UP_ROUNDS:
                times_ms_by_path[name].append((time.perf_counter() - started) * 1e3)
    return times_ms_by_path


def _print(times_ms_by_path: dict[str, list[float]]) -> None:
    print(f"{'ms, one caller, back to back':36}{'p50':>7}{'p99':>7}")
    for name, times_ms in times_ms_by_path.items():
        percentiles = statistics.quantiles(times_ms, n=100)
        print(f"{name:36}{percentiles[49]:7.2f}{percentiles[98]:7.2f}")


def _make_http_call(host: str, port: int) -> CallFunction:
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)

    def call() -> None:
        connection.request("GET", "/work", headers=HEADERS)
        response = connection.getresponse()
        response.read()
        if response.status != 200:
            raise NotServedError(
                f"a call returned status {response.status}; run the benchmark again"
            )

    return call


def _call_embedded(router: library.EmbeddedRouter) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    outcome = router.call(library.Request("dispatch", "lookup", deadline, path="/work"))
    if not isinstance(outcome, calls.Served):
        raise NotServedError(f"{outcome} instead of Served; run the benchmark again")


if __name__ == "__main__":
    main()
