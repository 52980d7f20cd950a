"""Hold requests to other regions to the link budget of their service."""

import time

from savoryhollow import calls
from savoryhollow.budgets import links
from savoryhollow.membership import table
from savoryhollow.wire import exchange, messages

__all__ = ["LinkGuard", "unlimited"]

# What requests within the region are given.
_NO_RESERVATION = links.Reservation("", 0)


class LinkGuard:
    """Reserves bytes for a request before it is sent to another region.

    :param region: the region of this process.
    :param budgets: the link budgets, or None to allow everything.
    """

    def __init__(self, region: str, budgets: links.LinkBudgets | None):
        self._region = region
        self._budgets = budgets

    def is_open(self, call: calls.Call, now: float) -> bool:
        """Say whether a call may cross now.

        It only helps to choose among endpoints; a request is held to the budget
        by :meth:`reserve`.

        :param call: the call.
        :param now: the present instant.
        """
        if self._budgets is None:
            return True
        size = links.size_of(call.headers, call.body, call.path)
        return self._budgets.can_reserve(call.service, size, now)

    def is_in_other_region(self, endpoint: table.Endpoint) -> bool:
        """Say whether an endpoint stands in another region."""
        return endpoint.region != self._region

    def reserve(
        self, endpoint: table.Endpoint, message: messages.CallMessage
    ) -> links.Reservation | None:
        """Reserve what a request and its answer will take.

        :param endpoint: where the request is going.
        :param message: the request.
        :returns: the reservation, or None where the budget is used up.
        """
        if self._budgets is None or not self.is_in_other_region(endpoint):
            return _NO_RESERVATION
        size = links.size_of(message.headers, message.body, message.path)
        return self._budgets.reserve(message.service, size, time.monotonic())

    def settle(
        self,
        reservation: links.Reservation,
        message: messages.CallMessage,
        answer: exchange.Answer | None,
        sent: bool,
    ) -> None:
        """Correct a reservation by what was sent in truth.

        :param crossing: the reservation.
        :param message: the request.
        :param answer: the answer, if one came.
        :param sent: whether the request may have been sent.
        """
        if self._budgets is None or reservation is _NO_RESERVATION:
            return
        size = links.size_of(message.headers, message.body, message.path)
        self._budgets.settle(
            reservation, size if sent else 0, _answer_size(answer), time.monotonic()
        )


def unlimited(region: str) -> LinkGuard:
    """Return a guard that allows everything."""
    return LinkGuard(region, None)


def _answer_size(answer: exchange.Answer | None) -> int:
    if isinstance(answer, messages.ResolutionMessage):
        answer = answer.answer
    if isinstance(answer, messages.ServedMessage):
        return links.size_of(answer.headers, answer.body)
    return 0 if answer is None else links.OVERHEAD_BYTES
