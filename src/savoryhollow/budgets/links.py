"""The link budget of each service: what this process may send between regions."""

import collections.abc
import dataclasses
import threading

from savoryhollow import calls
from savoryhollow.budgets import buckets
from savoryhollow.configuration import models

__all__ = ["LinkBudgets", "LinkState", "Reservation", "size_of"]

# Bytes of a message beside its body, headers and path, with its share of the
# connection's own traffic.
OVERHEAD_BYTES = 100
# Bytes of an answer that are reserved before any has been seen.
FIRST_ANSWER_BYTES = 1_000
# Weight of the newest answer in the size that is expected.
ANSWER_WEIGHT = 0.2
# A share that grows is used this much later, when a process that has not heard
# of the change has had time to, in s.
RAISE_DELAY_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """What has been reserved for one request to another region."""

    service: str
    reserved_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class LinkState:
    """The link budget of one service, for the dump.

    :param share_bytes_per_s: the share of this process.
    :param spent_bytes: since the process started.
    """

    share_bytes_per_s: float
    spent_bytes: float
    refused: int


@dataclasses.dataclass(slots=True)
class _Account:
    bucket: buckets.TokenBucket
    is_new: bool
    budget_per_s: float = 0.0
    answer_bytes: float = FIRST_ANSWER_BYTES
    refused: int = 0
    pending_rate_per_s: float = 0.0
    pending_at: float | None = None


def size_of(headers: tuple[calls.Header, ...], body: bytes, path: str = "") -> int:
    """Return the bytes that a request or an answer takes on the link.

    :param headers: its headers.
    :param body: its body.
    :param path: its path, for a request.
    """
    named = sum(len(header.name) + len(header.value) for header in headers)
    return OVERHEAD_BYTES + named + len(body) + len(path)


class LinkBudgets:
    """Reserves bytes between regions for requests, and settles what they took.

    :param known_endpoints: returns the size of the list, which counts where it is
        greater than the number that the configuration sets.
    :param now: the present instant; shares are saved up from here on.
    """

    def __init__(self, known_endpoints: collections.abc.Callable[[], int], now: float):
        self._known_endpoints = known_endpoints
        self._started_at = now
        self._lock = threading.Lock()
        self._configured_endpoints = 1
        self._processes = 0
        self._accounts_by_service: dict[str, _Account] = {}

    def configure(self, configuration: models.Configuration, now: float) -> None:
        """Put the budgets of a configuration in force.

        :param configuration: the configuration.
        :param now: the present instant.
        """
        with self._lock:
            self._configured_endpoints = configuration.endpoints_at_most
            self._processes = max(self._configured_endpoints, self._known_endpoints())
            saved_from = now if self._accounts_by_service else self._started_at
            for name, service in configuration.services.items():
                if name not in self._accounts_by_service:
                    bucket = buckets.TokenBucket(0.0, saved_from)
                    self._accounts_by_service[name] = _Account(bucket, is_new=True)
                self._set_budget(name, service.budgets.link_bytes_per_s, now)
            for name in self._accounts_by_service.keys() - configuration.services:
                self._set_budget(name, 0.0, now)

    def reserve(
        self, service: str, request_bytes: int, now: float
    ) -> Reservation | None:
        """Reserve what a request and its answer will take.

        :param service: the service.
        :param request_bytes: the size of the request.
        :param now: the present instant.
        :returns: the reservation, or None where the share is used up.
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
        """Say whether a request could be reserved now.

        :param service: the service.
        :param request_bytes: the size of the request.
        :param now: the present instant.
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
        """Correct a reservation by what was sent in truth.

        :param crossing: the reservation.
        :param request_bytes: the size of the request; 0 where it was not sent.
        :param answer_bytes: the size of the answer; 0 where none came.
        :param now: the present instant.
        """
        with self._lock:
            account = self._accounts_by_service[reservation.service]
            used = request_bytes + answer_bytes
            account.bucket.spend(used - reservation.reserved_bytes, now)
            if answer_bytes:
                change = answer_bytes - account.answer_bytes
                account.answer_bytes += ANSWER_WEIGHT * change

    def states_by_service(self) -> dict[str, LinkState]:
        """Return the state of each budget."""
        with self._lock:
            return {
                name: LinkState(
                    account.bucket.rate_per_s, account.bucket.spent, account.refused
                )
                for name, account in self._accounts_by_service.items()
            }

    # -----------------------------------------------------------------------
    #   Under the lock
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
