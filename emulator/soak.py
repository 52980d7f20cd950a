"""Bring about random faults for a while and check what must always hold.

The backend servers' own records are the evidence: no request answered "not
run" ran, no booking ran twice, and each answer is the request's own.
"""

import argparse
import collections
import collections.abc
import dataclasses
import json
import random
import signal
import sys
import threading
import time

import urllib3

from emulator import deployment, plans

__all__ = ["main"]

# Callers at one time, for each endpoint.
CALLERS = 3
# Pause between two requests of a caller, in s.
CALLER_PAUSE_S = 0.02
# How long a fault lasts and how far two are apart, in s.
SHORTEST_S = 0.1
LONGEST_S = 2.5
# Limit for the last requests to be answered, in s.
SETTLE_S = 10.0
# Deadline of a request, in ms, and the caller's own limit, in s.
DEADLINE_MS = 1000
CALLER_LIMIT_S = 20.0

PLAN = plans.DeploymentPlan(
    name="soak",
    regions=("east", "west"),
    zones_per_region=1,
    services=(plans.ServicePlan("dispatch", 3, 20.0),),
    store_region="east",
    files={
        "10.json": json.dumps(
            {
                "services": {
                    "dispatch": {
                        "share": 1,
                        "ranks": {
                            "lookup": {"order": 0, "idempotent": True},
                            "booking": {"order": 1},
                        },
                    }
                }
            }
        )
    },
    slots=4,
    delay_ms=5.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What one caller got."""

    rank: str
    outcome: str
    request_id: str
    body: bytes


class Callers:
    """Sends requests to every front and keeps the answers."""

    def __init__(self, running: deployment.Deployment, seed: int):
        self._running = running
        self._seed = seed
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self.answers: list[Answer] = []
        self.unanswered = 0

    def start(self) -> None:
        """Begin to send in the background."""
        for number, instance in enumerate(self._running.instances_by_id.values()):
            url = self._running.front_url(instance) + "/work"
            for caller in range(CALLERS):
                rng = random.Random(f"{self._seed}/{number}/{caller}")
                thread = threading.Thread(target=self._send_all, args=(url, rng))
                thread.start()
                self._threads.append(thread)

    def stop(self) -> None:
        """Send no more and wait for the last answers."""
        self._stop.set()
        for thread in self._threads:
            thread.join(SETTLE_S + CALLER_LIMIT_S)

    def _send_all(self, url: str, rng: random.Random) -> None:
        pool = urllib3.PoolManager(retries=False)
        while not self._stop.wait(CALLER_PAUSE_S):
            rank = rng.choice(("lookup", "booking"))
            try:
                self.answers.append(_ask(pool, url, rank))
            except urllib3.exceptions.HTTPError:
                # A killed daemon; the caller has no answer to check.
                self.unanswered += 1


def _ask(pool: urllib3.PoolManager, url: str, rank: str) -> Answer:
    headers = {
        "Savoryhollow-Service": "dispatch",
        "Savoryhollow-Rank": rank,
        "Savoryhollow-Deadline-Ms": str(DEADLINE_MS),
    }
    got = pool.request("POST", url, headers=headers, timeout=CALLER_LIMIT_S)
    outcome = got.headers.get("Savoryhollow-Outcome", "")
    request_id = got.headers.get("Savoryhollow-Request-Id", "")
    return Answer(rank, outcome, request_id, got.data)


# ---------------------------------------------------------------------------
#   Faults
# ---------------------------------------------------------------------------

Undo = collections.abc.Callable[[], None]


class Faults:
    """Brings about one fault after another, some at one time.

    :param running: the deployment.
    :param rng: decides which, where, when and for how long.
    """

    def __init__(self, running: deployment.Deployment, rng: random.Random):
        self._running = running
        self._rng = rng
        self._undo_by_name: dict[str, tuple[float, Undo]] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def run(self, until: float) -> None:
        """Go on until an instant, then undo what still lasts."""
        while time.monotonic() < until:
            self._begin_one()
            time.sleep(self._rng.uniform(SHORTEST_S, LONGEST_S / 2))
            self._undo(time.monotonic())
        self._undo(float("inf"))

    def _begin_one(self) -> None:
        instance = self._rng.choice(list(self._running.instances_by_id.values()))
        kind = self._rng.choice(sorted(FAULTS_BY_NAME))
        place = instance.endpoint_id
        name = kind if kind in SHARED else f"daemon {place}"
        if kind.startswith("backend"):
            name = f"backend {place}"
        lasts = self._rng.uniform(SHORTEST_S, LONGEST_S)
        if name in self._undo_by_name:
            return
        undo = FAULTS_BY_NAME[kind](self._running, instance)
        self._undo_by_name[name] = (time.monotonic() + lasts, undo)
        self.counts[kind] += 1

    def _undo(self, now: float) -> None:
        for name, (ends_at, undo) in list(self._undo_by_name.items()):
            if ends_at <= now:
                undo()
                del self._undo_by_name[name]


def _pause(process) -> Undo:
    process.send_signal(signal.SIGSTOP)
    return lambda: process.send_signal(signal.SIGCONT)


def _end(running, instance, number) -> Undo:
    instance.daemon.send_signal(number)

    def start_again() -> None:
        instance.daemon.wait(SETTLE_S)
        running.start_daemon(instance)

    return start_again


def _control_link(running, **fields) -> Undo:
    running.control_link(**fields)
    whole = dict.fromkeys(fields, False)
    return lambda: running.control_link(**whole) and None


def _hold(running) -> Undo:
    running.control_link(held_before=running.control_link()["connections"])
    return lambda: running.control_link(held_before=0) and None


def _silence(running) -> Undo:
    running.control_link(silent_before=running.control_link()["connections"])
    return lambda: None


def _control_platform(running, before, after) -> Undo:
    running.control_platform(**before)
    return lambda: running.control_platform(**after)


def _control_backend(running, instance, before, after) -> Undo:
    running.control_backend(instance, **before)
    return lambda: running.control_backend(instance, **after)


FAULTS_BY_NAME: dict[str, collections.abc.Callable[..., Undo]] = {
    "daemon pauses": lambda r, i: _pause(i.daemon),
    "daemon is killed": lambda r, i: _end(r, i, signal.SIGKILL),
    "daemon leaves": lambda r, i: _end(r, i, signal.SIGTERM),
    "backend pauses": lambda r, i: _pause(i.backend),
    "backend slows": lambda r, i: _control_backend(
        r, i, {"noise_ms": 300.0}, {"noise_ms": 0.0}
    ),
    "backend fails": lambda r, i: _control_backend(
        r, i, {"fail_share": 0.5}, {"fail_share": 0.0}
    ),
    "backend drains": lambda r, i: _control_backend(
        r, i, {"draining": True}, {"draining": False}
    ),
    "link cut": lambda r, i: _control_link(r, cut=True),
    "link cut one way": lambda r, i: _control_link(r, cut_back=True),
    "link holds": lambda r, i: _hold(r),
    "link silent": lambda r, i: _silence(r),
    "platform down": lambda r, i: _control_platform(r, {"down": True}, {"down": False}),
    "platform slow": lambda r, i: _control_platform(
        r, {"slow_ms": 900}, {"slow_ms": 0}
    ),
}
# Faults of what all instances share.
SHARED = frozenset(name for name in FAULTS_BY_NAME if name.startswith(("link", "plat")))


# ---------------------------------------------------------------------------
#   Checks
# ---------------------------------------------------------------------------


def find_faults(answers: list[Answer], runs_by_id: dict[str, int]) -> list[str]:
    """Return every way in which the answers break a promise.

    :param answers: what the callers got.
    :param runs_by_id: how often each request ran, by the backend servers.
    """
    found = []
    for answer in answers:
        runs = runs_by_id.get(answer.request_id, 0)
        booking = answer.rank == "booking"
        if answer.outcome == "not-run" and runs:
            found.append(f"told not run, but ran {runs} times: {answer}")
        if booking and runs > 1:
            found.append(f"a booking ran {runs} times: {answer}")
        if b"." in answer.body[:60] and answer.outcome == "served":
            if not answer.body.startswith(answer.request_id.encode()):
                found.append(f"the answer of another request: {answer}")
    return found


def _runs_by_id(running: deployment.Deployment) -> dict[str, int]:
    runs: collections.Counter[str] = collections.Counter()
    for instance in running.instances_by_id.values():
        for attempt_id, count in running.records(instance).items():
            runs[attempt_id.rpartition(".")[0]] += count
    return runs


def main() -> int:
    """Run the soak.

    :returns: the exit status: 0 where every promise held.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument(
        "--seed", type=int, default=random.SystemRandom().getrandbits(32)
    )
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.seconds:.0f} s", flush=True)
    with deployment.Deployment(PLAN, "round-robin") as running:
        callers = Callers(running, options.seed)
        callers.start()
        faults = Faults(running, random.Random(options.seed))
        try:
            faults.run(time.monotonic() + options.seconds)
        finally:
            callers.stop()
        found = find_faults(callers.answers, _runs_by_id(running))
    outcomes = collections.Counter((a.rank, a.outcome) for a in callers.answers)
    print("faults:", dict(sorted(faults.counts.items())))
    print("answers:", {"/".join(k): n for k, n in sorted(outcomes.items())})
    print("without an answer:", callers.unanswered)
    print(*found[:20], sep="\n")
    print(f"{len(found)} promises broken")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
