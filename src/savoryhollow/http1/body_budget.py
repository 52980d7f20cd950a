"""Bound the memory that the bodies of requests take.

A body is held until its request is answered, and is copied on its way to the backend
server. Callers whose bodies don't fit wait: their connections aren't read. Long bodies
have a part of the memory of their own, so that the others don't wait for them.
"""

import collections
import collections.abc

__all__ = ["LONG_BODY_BYTES", "BodyBudget", "MemoryPool", "Reservation"]

# Copies of a body that exist at one time at most: received, put together, encoded for
# another daemon, and waiting to be sent.
MAX_COPIES = 4
# Copies of a body that is sent to the local backend server.
MIN_COPIES = 2
# Shorter bodies are not counted, in bytes. They are read at once, with their heads.
MIN_COUNTED_BYTES = 1 << 18
# Length of a long body, in bytes.
LONG_BODY_BYTES = 1 << 20
# Part of the memory for bodies that aren't long.
SHORT_BODY_SHARE = 0.2

OnGranted = collections.abc.Callable[[], None]


class BodyBudget:
    """Grants memory for bodies, in the order in which it is asked for.

    :param limit_bytes: the memory that all bodies may take, in bytes.
    """

    def __init__(self, limit_bytes: int):
        short_bytes = int(SHORT_BODY_SHARE * limit_bytes)
        self._short_bodies = MemoryPool(short_bytes)
        self._long_bodies = MemoryPool(limit_bytes - short_bytes)

    @property
    def used_bytes(self) -> int:
        """The memory that is reserved, in bytes."""
        return self._short_bodies.used_bytes + self._long_bodies.used_bytes

    @property
    def waiting_count(self) -> int:
        """The number of bodies that wait for memory."""
        return len(self._short_bodies.waiting) + len(self._long_bodies.waiting)

    def fits(self, body_bytes: int) -> bool:
        """Return whether a body of this size can be held at all."""
        return (
            body_bytes < LONG_BODY_BYTES
            or MIN_COPIES * body_bytes <= self._long_bodies.limit_bytes
        )

    def cost_bytes(self, body_bytes: int) -> int:
        """Return the memory that a body takes; a very long one takes all there is."""
        if body_bytes < MIN_COUNTED_BYTES:
            return 0
        cost_bytes = MAX_COPIES * body_bytes
        return min(cost_bytes, self._pool(cost_bytes).limit_bytes)

    def reserve(self, cost_bytes: int, on_granted: OnGranted) -> bool:
        """Reserve memory, or wait for it.

        :param cost_bytes: the memory, as returned by :meth:`cost_bytes`.
        :param on_granted: called once the memory is reserved, if it wasn't at once.
        :returns: True if it is reserved.
        """
        return self._pool(cost_bytes).reserve(cost_bytes, on_granted)

    def withdraw(self, on_granted: OnGranted) -> None:
        """Stop waiting for memory."""
        self._short_bodies.withdraw(on_granted)
        self._long_bodies.withdraw(on_granted)

    def release(self, cost_bytes: int) -> None:
        """Give reserved memory back."""
        if cost_bytes:
            self._pool(cost_bytes).release(cost_bytes)

    def _pool(self, cost_bytes: int) -> "MemoryPool":
        is_long = cost_bytes > MAX_COPIES * LONG_BODY_BYTES
        return self._long_bodies if is_long else self._short_bodies


class MemoryPool:
    """One part of the memory, and those who wait for it.

    The attribute ``used_bytes`` is what is reserved; ``waiting`` are those who wait.

    :param limit_bytes: the size of the part, in bytes.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.waiting: collections.deque[tuple[int, OnGranted]] = collections.deque()

    def reserve(self, cost_bytes: int, on_granted: OnGranted) -> bool:
        """Reserve memory, or wait for it; see :meth:`BodyBudget.reserve`."""
        if not self.waiting and self.used_bytes + cost_bytes <= self.limit_bytes:
            self.used_bytes += cost_bytes
            return True
        self.waiting.append((cost_bytes, on_granted))
        return False

    def withdraw(self, on_granted: OnGranted) -> None:
        """Stop waiting for memory."""
        self.waiting = collections.deque(
            one for one in self.waiting if one[1] != on_granted
        )
        self._grant()

    def release(self, cost_bytes: int) -> None:
        """Give reserved memory back."""
        self.used_bytes -= cost_bytes
        self._grant()

    def _grant(self) -> None:
        while self.waiting:
            cost_bytes, on_granted = self.waiting[0]
            if self.used_bytes + cost_bytes > self.limit_bytes:
                return
            self.waiting.popleft()
            self.used_bytes += cost_bytes
            on_granted()


class Reservation:
    """The memory for the body that is being read from one connection.

    The attribute ``held_bytes`` is what is reserved.

    :param budget: the budget of the server.
    :param on_granted: called once memory that it had to wait for is reserved.
    """

    def __init__(self, budget: BodyBudget, on_granted: OnGranted):
        self.held_bytes = 0
        self._awaited_bytes = 0
        self._budget = budget
        self._on_granted = on_granted

    @property
    def is_waiting(self) -> bool:
        """Whether memory is waited for."""
        return self._awaited_bytes > 0

    def reserve(self, body_bytes: int) -> None:
        """Reserve memory for a body in place of what is held, or wait for it.

        :param body_bytes: the length of the body, in bytes.
        """
        cost_bytes = self._budget.cost_bytes(body_bytes)
        if self.is_waiting or cost_bytes <= self.held_bytes:
            return
        self._awaited_bytes = cost_bytes
        if self._budget.reserve(cost_bytes, self._grant):
            self._replace()

    def _grant(self) -> None:
        self._replace()
        self._on_granted()

    def _replace(self) -> None:
        """Hold the memory that was granted in place of the former."""
        former_bytes, self.held_bytes = self.held_bytes, self._awaited_bytes
        self._awaited_bytes = 0
        self._budget.release(former_bytes)

    def take(self) -> int:
        """Hand the reserved memory over and wait for no more; return it, in bytes."""
        if self._awaited_bytes:
            self._awaited_bytes = 0
            self._budget.withdraw(self._grant)
        held_bytes, self.held_bytes = self.held_bytes, 0
        return held_bytes

    def release(self) -> None:
        """Give the memory back."""
        self._budget.release(self.take())
