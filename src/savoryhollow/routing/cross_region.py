"""Limit requests to other regions by the link budget of their service."""

import time

from savoryhollow import calls
from savoryhollow.budgets import links
from savoryhollow.membership import table
from savoryhollow.wire import messages, multiplexing

__all__ = ["LinkGuard", "unlimited"]

# Stands for the reservation of a request that uses no link budget.
_NO_RESERVATION = links.Reservation("", 0)


class LinkGuard:
    """Reserves bytes of the link budget for requests to other regions.

    :param region: the region of this process.
    :param budgets: the link budgets, or None for no limit.
    """

    def __init__(self, region: str, budgets: links.LinkBudgets | None):
        self._region = region
        self._budgets = budgets

    def can_reserve(self, call: calls.Call, now: float) -> bool:
        """Return True if a call could be sent to another region now.

        This only narrows the choice of endpoints; :meth:`reserve` enforces the
        budget.

        :param call: the call.
        :param now: the current time.
        """
        if self._budgets is None:
            return True
        size = links.size_of(call.headers, call.body, call.path)
        return self._budgets.can_reserve(call.service, size, now)

    def is_in_other_region(self, endpoint: table.Endpoint) -> bool:
        """Return True if an endpoint is in another region."""
        return endpoint.region != self._region

    def reserve(
        self, endpoint: table.Endpoint, message: messages.CallMessage
    ) -> links.Reservation | None:
        """Reserve the expected bytes of a request and its answer.

        :param endpoint: the endpoint that the request is sent to.
        :param message: the request.
        :returns: the reservation, or None if the budget is used up.
        """
        if self._budgets is None or not self.is_in_other_region(endpoint):
            return _NO_RESERVATION
        size = links.size_of(message.headers, message.body, message.path)
        return self._budgets.reserve(message.service, size, time.monotonic())

    def settle(
        self,
        reservation: links.Reservation,
        message: messages.CallMessage,
        answer: multiplexing.Answer | None,
        sent: bool,
    ) -> None:
        """Replace a reservation by the bytes that were actually transferred.

        :param reservation: the reservation.
        :param message: the request.
        :param answer: the answer, or None if there was none.
        :param sent: True if the request may have been sent.
        """
        if self._budgets is None or reservation is _NO_RESERVATION:
            return
        size = links.size_of(message.headers, message.body, message.path)
        self._budgets.settle(
            reservation, size if sent else 0, _answer_size(answer), time.monotonic()
        )


def unlimited(region: str) -> LinkGuard:
    """Return a guard without limits."""
    return LinkGuard(region, None)


def _answer_size(answer: multiplexing.Answer | None) -> int:
    if isinstance(answer, messages.ResolutionMessage):
        answer = answer.answer
    if isinstance(answer, messages.ServedMessage):
        return links.size_of(answer.headers, answer.body)
    return 0 if answer is None else links.OVERHEAD_BYTES
