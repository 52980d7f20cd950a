"""Bound the memory that the long bodies of requests take.

A body is held until its request is answered, and is copied on its way to the backend
server. Callers whose bodies don't fit wait: their connections aren't read.
"""

import collections
import collections.abc

__all__ = ["BodyBudget", "Reservation"]

# Copies of a body that exist at one time at most: received, put together, encoded for
# another daemon, and waiting to be sent.
MAX_COPIES = 4
# Copies of a body that is sent to the local backend server.
MIN_COPIES = 2
# Shorter bodies are not counted, in bytes.
MIN_COUNTED_BYTES = 1 << 20

OnGranted = collections.abc.Callable[[], None]


class BodyBudget:
    """Grants memory for bodies, in the order in which it is asked for.

    :param limit_bytes: the memory that all bodies may take, in bytes.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._waiting: collections.deque[tuple[int, OnGranted]] = collections.deque()

    def fits(self, body_bytes: int) -> bool:
        """Return whether a body of this size can be held at all."""
        return (
            body_bytes < MIN_COUNTED_BYTES
            or MIN_COPIES * body_bytes <= self._limit_bytes
        )

    def cost_bytes(self, body_bytes: int) -> int:
        """Return the memory that a body takes; a very long one takes everything."""
        if body_bytes < MIN_COUNTED_BYTES:
            return 0
        return min(MAX_COPIES * body_bytes, self._limit_bytes)

    def reserve(self, cost_bytes: int, on_granted: OnGranted) -> bool:
        """Reserve memory, or wait for it.

        :param cost_bytes: the memory, as returned by :meth:`cost_bytes`.
        :param on_granted: called once the memory is reserved, if it wasn't at once.
        :returns: True if it is reserved.
        """
        if not self._waiting and self._used_bytes + cost_bytes <= self._limit_bytes:
            self._used_bytes += cost_bytes
            return True
        self._waiting.append((cost_bytes, on_granted))
        return False

    def withdraw(self, on_granted: OnGranted) -> None:
        """Stop waiting for memory."""
        self._waiting = collections.deque(
            one for one in self._waiting if one[1] != on_granted
        )
        self._grant()

    def release(self, cost_bytes: int) -> None:
        """Give reserved memory back."""
        self._used_bytes -= cost_bytes
        self._grant()

    def _grant(self) -> None:
        while self._waiting:
            cost_bytes, on_granted = self._waiting[0]
            if self._used_bytes + cost_bytes > self._limit_bytes:
                return
            self._waiting.popleft()
            self._used_bytes += cost_bytes
            on_granted()


class Reservation:
    """The memory for the body that is being read from one connection.

    :param budget: the budget of the server.
    :param on_granted: called once memory that it had to wait for is reserved.
    """

    def __init__(self, budget: BodyBudget, on_granted: OnGranted):
        self.is_waiting = False
        self._budget = budget
        self._on_granted = on_granted
        self._cost_bytes = 0

    @property
    def is_held(self) -> bool:
        """Whether memory is reserved or waited for."""
        return self._cost_bytes > 0

    def reserve(self, body_bytes: int) -> None:
        """Reserve memory for a body, or wait for it.

        :param body_bytes: the length of the body, in bytes.
        """
        self._cost_bytes = self._budget.cost_bytes(body_bytes)
        if self._cost_bytes:
            granted = self._budget.reserve(self._cost_bytes, self._grant)
            self.is_waiting = not granted

    def _grant(self) -> None:
        self.is_waiting = False
        self._on_granted()

    def take(self) -> int:
        """Hand the reserved memory over; return it, in bytes."""
        cost_bytes, self._cost_bytes = self._cost_bytes, 0
        return cost_bytes

    def release(self) -> None:
        """Give the memory back."""
        if self.is_waiting:
            self.is_waiting = False
            self._budget.withdraw(self._grant)
            self._cost_bytes = 0
        elif self._cost_bytes:
            self._budget.release(self.take())
