"""Refuse calls that would occupy threads needed by more urgent calls."""

import collections.abc
import threading

from savoryhollow import calls
from savoryhollow.configuration import models
from savoryhollow.recovery import retrying
from savoryhollow.routing import concurrency

__all__ = ["LimitedRoute"]

Route = collections.abc.Callable[[calls.Call], calls.Outcome]


class LimitedRoute:
    """Applies the concurrency limits before it passes a call to the router.

    :param threads: number of threads of the front.
    :param route: function that routes a call.
    """

    def __init__(self, threads: int, route: Route):
        self._limits = concurrency.ConcurrencyLimits(threads)
        self._route = route
        self._lock = threading.Lock()

    def configure(self, configuration: models.Configuration) -> None:
        """Apply a configuration; calls in progress are not affected."""
        with self._lock:
            self._limits.configure(configuration)

    def route(self, call: calls.Call) -> calls.Outcome:
        """Route a call, or refuse it at once if its rank is at its limit.

        :param call: the call.
        :returns: the outcome of the call.
        """
        key = concurrency.RankKey(call.service, call.rank)
        with self._lock:
            acquired = self._limits.try_acquire(key)
        if not acquired:
            reason = calls.NotRunReason.OVERLOADED
            return calls.NotRun(
                call.request_id, reason, retrying.DEFAULT_RETRY_AFTER_MS
            )
        try:
            return self._route(call)
        finally:
            with self._lock:
                self._limits.release(key)
