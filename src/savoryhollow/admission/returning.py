"""How long a caller has been trying already, told by the time that it has left.

Callers of a route wait for the same time, and one that comes back after a refusal or
a lost connection has less of it left. Its answer is of full use until the objective
counted from its first attempt, so the time that it has spent decides whether it can
still be in time.

Pure computation.
"""

import collections

__all__ = ["Waits"]

# Requests of a route by which the usual wait of its callers is known.
SAMPLE_SIZE = 64
# Requests that are seen before anything is concluded.
MIN_SAMPLES = 8
# Difference below which two waits count as the same, in s.
TOLERANCE_S = 0.1
# Share of requests with the longest wait from which it counts as the usual one: where
# callers differ, a shorter wait says nothing.
USUAL_SHARE = 0.25


class Waits:
    """The time that callers of each route have, as their requests told of late."""

    def __init__(self) -> None:
        self._waits_by_route: dict[str, collections.deque[float]] = {}

    def spent_s(self, route: str, wait_s: float) -> float:
        """Take in a request; return how long its caller has tried before, in s.

        :param route: the name of its route.
        :param wait_s: the time that the caller has left, in s.
        """
        waits = self._waits_by_route.setdefault(
            route, collections.deque(maxlen=SAMPLE_SIZE)
        )
        waits.append(wait_s)
        usual_s = max(waits)
        if len(waits) < MIN_SAMPLES or usual_s - wait_s <= TOLERANCE_S:
            return 0.0
        alike = sum(usual_s - one <= TOLERANCE_S for one in waits)
        return usual_s - wait_s if alike >= USUAL_SHARE * len(waits) else 0.0

    def keep_only(self, routes: set[str]) -> None:
        """Forget the routes that aren't named."""
        for route in self._waits_by_route.keys() - routes:
            del self._waits_by_route[route]
