"""Measure what the HTTP hop into a daemon costs: ``python -m bench.embedding``.

One caller makes calls back to back; the ways take turns, so that all see the
same machine.
"""

import collections.abc
import dataclasses
import http.client
import statistics
import time

from emulator import deployment, plans
from savoryhollow import calls, library
from savoryhollow.settings import models

ROUNDS = 1500
WARM_UP = 100
# Limit of a call and of a start, in s.
LIMIT_S = 10.0
HEADERS = {"Savoryhollow-Service": "dispatch", "Savoryhollow-Rank": "lookup"}

Way = collections.abc.Callable[[], None]


def main() -> None:
    """Run the measurement and print it."""
    services = tuple(
        plans.ServicePlan(name, 1, 0.0) for name in ("dispatch", "maintenance")
    )
    plan = dataclasses.replace(plans.COULEE, services=services)
    with deployment.Deployment(plan) as running:
        instance = running.instances_by_id["dispatch-0"]
        store = models.Target(running._store_host, deployment.STORE_PORT)
        settings = library.RouterSettings("bench", instance.region, "a", store)
        with library.EmbeddedRouter(settings) as router:
            router.await_ready(time.monotonic() + LIMIT_S)
            ways = {
                "straight to the backend server": _over_http(
                    instance.host, deployment.BACKEND_PORT
                ),
                "over HTTP to the daemon beside it": _over_http(
                    instance.host, deployment.FRONT_PORT
                ),
                "over HTTP to another daemon": _over_http(
                    running.instances_by_id["maintenance-0"].host,
                    deployment.FRONT_PORT,
                ),
                "embedded router": lambda: _embedded(router),
            }
            _print(_measure(ways))


def _measure(ways: dict[str, Way]) -> dict[str, list[float]]:
    times_ms: dict[str, list[float]] = {name: [] for name in ways}
    for number in range(WARM_UP + ROUNDS):
        for name, way in ways.items():
            started = time.perf_counter()
            way()
            if number >= WARM_UP:
                times_ms[name].append((time.perf_counter() - started) * 1e3)
    return times_ms


def _print(times_ms: dict[str, list[float]]) -> None:
    print(f"{'ms, one caller, back to back':36}{'p50':>7}{'p99':>7}")
    for name, times in times_ms.items():
        cuts = statistics.quantiles(times, n=100)
        print(f"{name:36}{cuts[49]:7.2f}{cuts[98]:7.2f}")


def _over_http(host: str, port: int) -> Way:
    connection = http.client.HTTPConnection(host, port, timeout=LIMIT_S)

    def call() -> None:
        connection.request("GET", "/work", headers=HEADERS)
        answer = connection.getresponse()
        answer.read()
        if answer.status != 200:
            raise RuntimeError(f"status {answer.status}; run it again")

    return call


def _embedded(router: library.EmbeddedRouter) -> None:
    deadline = time.monotonic() + LIMIT_S
    outcome = router.call(library.Request("dispatch", "lookup", deadline, path="/work"))
    if not isinstance(outcome, calls.Served):
        raise RuntimeError(f"{outcome}; run it again")


if __name__ == "__main__":
    main()
