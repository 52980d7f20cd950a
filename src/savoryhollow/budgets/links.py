"""Link budgets, which limit the traffic between regions of each service."""

import collections.abc
import dataclasses
import threading

from savoryhollow import calls
from savoryhollow.budgets import buckets
from savoryhollow.configuration import models

__all__ = ["LinkBudgets", "LinkState", "Reservation", "size_of"]

# Bytes of a message besides its body, headers and path, including its share of the
# connection's own traffic.
OVERHEAD_BYTES = 100
# Bytes reserved for an answer before the first answer of the service has arrived.
FIRST_ANSWER_BYTES = 1_000
# Weight of the latest answer in the moving average of answer sizes.
ANSWER_WEIGHT = 0.2
# Delay before a larger share is used, in s: by then, processes that received the change
# late have lowered their shares.
RAISE_DELAY_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """The bytes reserved for one request to another region and its answer."""

    service: str
    reserved_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class LinkState:
    """The state of the link budget of one service, for the dump.

    :param share_bytes_per_s: the share of this process.
    :param spent_bytes: the bytes spent since the process started.
    :param refused: the number of refused reservations.
    """

    share_bytes_per_s: float
    spent_bytes: float
    refused: int


@dataclasses.dataclass(slots=True)
class _Account:
    """The share of one service.

    :param bucket: limits spending to the share.
    :param is_new: True until the first budget is set.
    :param budget_per_s: the budget of all processes, in bytes per second.
    :param answer_bytes: the expected size of an answer.
    :param refused: the number of refused reservations.
    :param pending_rate_per_s: a larger share that applies from ``pending_at``.
    :param pending_at: the time at which the larger share applies; None if there is
        none.
    """

    bucket: buckets.TokenBucket
    is_new: bool
    budget_per_s: float = 0.0
    answer_bytes: float = FIRST_ANSWER_BYTES
    refused: int = 0
    pending_rate_per_s: float = 0.0
    pending_at: float | None = None


def size_of(headers: tuple[calls.Header, ...], body: bytes, path: str = "") -> int:
    """Return the bytes that a request or an answer takes on the link.

    :param headers: the headers of the message.
    :param body: the body of the message.
    :param path: the path of a request; empty for an answer.
    """
    headers_bytes = sum(len(header.name) + len(header.value) for header in headers)
    return OVERHEAD_BYTES + headers_bytes + len(body) + len(path)


class LinkBudgets:
    """Reserves link bytes for requests to other regions, and settles the reservations.

    :param known_endpoints: returns the number of listed endpoints; budgets are divided
        by it if it is larger than the number that the configuration sets.
    :param now: the current time, from which shares accumulate.
    """

    def __init__(self, known_endpoints: collections.abc.Callable[[], int], now: float):
        self._known_endpoints = known_endpoints
        self._started_at = now
        self._lock = threading.Lock()
        self._configured_endpoints = 1
        self._processes = 0
        self._accounts_by_service: dict[str, _Account] = {}

    def configure(self, configuration: models.Configuration, now: float) -> None:
        """Apply the budgets of a configuration.

        :param configuration: the configuration.
        :param now: the current time.
        """
        with self._lock:
            self._configured_endpoints = configuration.endpoints_at_most
            self._processes = max(self._configured_endpoints, self._known_endpoints())
            accumulate_from = now if self._accounts_by_service else self._started_at
            for name, service in configuration.services.items():
                if name not in self._accounts_by_service:
                    bucket = buckets.TokenBucket(0.0, accumulate_from)
                    self._accounts_by_service[name] = _Account(bucket, is_new=True)
                self._set_budget(name, service.budgets.link_bytes_per_s, now)
            for name in self._accounts_by_service.keys() - configuration.services:
                self._set_budget(name, 0.0, now)

    def reserve(
        self, service: str, request_bytes: int, now: float
    ) -> Reservation | None:
        """Reserve the bytes of a request and its expected answer.

        :param service: the service.
        :param request_bytes: the size of the request.
        :param now: the current time.
        :returns: the reservation; None if the share is used up or the service is not
            configured.
        """
        with self._lock:
            account = self._accounts_by_service.get(service)
            if account is None:
                return None
            self._lower_if_list_grew(now)
            self._apply_pending_raise(account, now)
            amount = request_bytes + round(account.answer_bytes)
            if not account.bucket.can_spend(amount, now):
                account.refused += 1
                return None
            account.bucket.spend(amount, now)
            return Reservation(service, amount)

    def can_reserve(self, service: str, request_bytes: int, now: float) -> bool:
        """Return True if the bytes of a request could be reserved now.

        :param service: the service.
        :param request_bytes: the size of the request.
        :param now: the current time.
        """
        with self._lock:
            account = self._accounts_by_service.get(service)
            if account is None:
                return False
            amount = request_bytes + round(account.answer_bytes)
            return account.bucket.can_spend(amount, now)

    def settle(
        self,
        reservation: Reservation,
        request_bytes: int,
        answer_bytes: int,
        now: float,
    ) -> None:
        """Replace a reservation by the bytes that were actually sent.

        :param reservation: the reservation.
        :param request_bytes: the size of the request; 0 if it was not sent.
        :param answer_bytes: the size of the answer; 0 if there was none.
        :param now: the current time.
        """
        with self._lock:
            account = self._accounts_by_service[reservation.service]
            used = request_bytes + answer_bytes
            account.bucket.spend(used - reservation.reserved_bytes, now)
            if answer_bytes:
                change = answer_bytes - account.answer_bytes
                account.answer_bytes += ANSWER_WEIGHT * change

    def states_by_service(self) -> dict[str, LinkState]:
        """Return the state of the budget of each service."""
        with self._lock:
            return {
                name: LinkState(
                    account.bucket.rate_per_s, account.bucket.spent, account.refused
                )
                for name, account in self._accounts_by_service.items()
            }

    # -----------------------------------------------------------------------
    #   Helpers, called with the lock held
    # -----------------------------------------------------------------------

    def _set_budget(self, name: str, budget_per_s: float, now: float) -> None:
        account = self._accounts_by_service[name]
        account.budget_per_s = budget_per_s
        rate = buckets.share_of(budget_per_s, self._processes)
        if account.is_new:
            account.is_new = False
            account.bucket.rate_per_s = rate
            return
        self._apply_pending_raise(account, now)
        if rate <= account.bucket.rate_per_s:
            account.bucket.change_rate(rate, now)
            account.pending_at = None
        elif account.pending_at is None or rate != account.pending_rate_per_s:
            account.pending_rate_per_s, account.pending_at = rate, now + RAISE_DELAY_S

    def _lower_if_list_grew(self, now: float) -> None:
        known = self._known_endpoints()
        if known > self._processes:
            self._processes = known
            for name, account in self._accounts_by_service.items():
                self._set_budget(name, account.budget_per_s, now)

    def _apply_pending_raise(self, account: _Account, now: float) -> None:
        if account.pending_at is not None and now >= account.pending_at:
            account.bucket.change_rate(account.pending_rate_per_s, now)
            account.pending_at = None
