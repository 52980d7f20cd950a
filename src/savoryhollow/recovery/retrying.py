"""Decides whether a request may be retried, and how often.

A call carries the number of attempts left for itself and for all nested calls.
"""

import collections.abc
import dataclasses
import threading
import typing

from savoryhollow import calls
from savoryhollow.wire import messages

__all__ = [
    "DEFAULT_RETRY_AFTER_MS",
    "AttemptAllowance",
    "RetryBudget",
    "combine_outcomes",
    "initial_allowance",
    "may_retry",
    "with_allowance_headers",
]

# How long a caller is told to wait before a retry if no estimate is known, in ms.
DEFAULT_RETRY_AFTER_MS = 200
# Limit of the unused retries that a service accumulates.
MAX_SAVED_RETRIES = 10.0
# Lowest HTTP status that counts as a failure of the backend server.
MIN_FAILURE_STATUS = 500
# Headers that a backend server copies into the calls that it makes itself.
DEPTH_HEADER = "Savoryhollow-Depth"
ATTEMPTS_LEFT_HEADER = "Savoryhollow-Attempts-Left"

Answer = typing.TypeVar("Answer")
RunBackend = collections.abc.Callable[[messages.CallMessage, float], Answer]


class RetryBudget:
    """Limits retries to a ratio of first attempts.

    :param ratio: retries allowed per first attempt.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self._lock = threading.Lock()
        self._saved_retries = MAX_SAVED_RETRIES if ratio > 0 else 0.0

    @property
    def saved_retries(self) -> float:
        """The number of retries available now."""
        return self._saved_retries

    def deposit(self) -> None:
        """Record a first attempt, which adds to the available retries."""
        with self._lock:
            self._saved_retries = min(
                MAX_SAVED_RETRIES, self._saved_retries + self.ratio
            )

    def withdraw(self) -> bool:
        """Use one retry; return False if none is available."""
        with self._lock:
            if self._saved_retries < 1.0:
                return False
            self._saved_retries -= 1.0
            return True


# ---------------------------------------------------------------------------
#   Attempts in a tree of calls
# ---------------------------------------------------------------------------


@dataclasses.dataclass(slots=True)
class AttemptAllowance:
    """The retries that one call may still make itself or pass on to nested calls.

    A retry is either passed on with an attempt or kept here, never both. If an
    attempt is proved not to have run, no nested call was made either, so the
    retries passed on with it are available again; otherwise they count as used.
    Only the outermost call keeps one retry for that case, so that only one layer
    repeats work that may have run.

    :param passed_on: retries that the next attempt passes on.
    :param kept: retries kept here.
    """

    passed_on: int
    kept: int

    @property
    def attempts_left(self) -> int:
        """The number of attempts that the next attempt carries, including itself."""
        return 1 + self.passed_on

    def take_retry(self, outcome: calls.Outcome) -> bool:
        """Use one retry after an attempt, if any is left.

        :param outcome: the outcome of the attempt.
        :returns: whether another attempt may be made.
        """
        if not isinstance(outcome, calls.NotRun):
            self.passed_on = 0
        if self.passed_on > 0:
            self.passed_on -= 1
            return True
        if self.kept > 0:
            self.kept -= 1
            return True
        return False


def initial_allowance(call: calls.Call) -> AttemptAllowance:
    """Return the allowance of a call before its first attempt."""
    retries = max(0, call.attempts_left - 1)
    kept = 1 if call.depth == 0 and call.idempotent and retries else 0
    return AttemptAllowance(retries - kept, kept)


def with_allowance_headers(run: RunBackend[Answer]) -> RunBackend[Answer]:
    """Add headers that limit the calls that the backend server makes itself.

    The headers carry the depth of those calls and the attempts left for them.

    :param run: sends a call to the backend server, with a deadline.
    :returns: a function that adds the headers and calls ``run``.
    """

    def run_with_allowance(call: messages.CallMessage, deadline: float) -> Answer:
        headers = (
            *call.headers,
            calls.Header(DEPTH_HEADER, str(call.depth + 1)),
            calls.Header(ATTEMPTS_LEFT_HEADER, str(call.attempts_left)),
        )
        return run(dataclasses.replace(call, headers=headers), deadline)

    return run_with_allowance


# ---------------------------------------------------------------------------
#   Retrying one request
# ---------------------------------------------------------------------------

# Reasons for a refusal that may not apply at another endpoint.
_RETRYABLE_REASONS = frozenset(
    (
        calls.NotRunReason.UNREACHABLE,
        calls.NotRunReason.LEAVING,
        calls.NotRunReason.QUEUE_FULL,
        calls.NotRunReason.DEADLINE,
        calls.NotRunReason.OVERLOADED,
        calls.NotRunReason.BARRED,
        calls.NotRunReason.LINK_BUDGET,
    )
)


def may_retry(
    call: calls.Call, outcome: calls.Outcome, now: float, *, trial: bool = False
) -> bool:
    """Return True if a call may be retried on another endpoint.

    A request is retried only if it is proved not to have run or if it is
    idempotent. A failure response of the backend server is left to the caller,
    except for a trial, because the router chose to try that endpoint.

    :param call: the call.
    :param outcome: the outcome of the last attempt.
    :param now: the current time.
    :param trial: whether the attempt went to an endpoint that isn't trusted.
    :returns: whether another attempt is allowed.
    """
    if now >= call.deadline:
        return False
    if isinstance(outcome, calls.NotRun):
        return outcome.reason in _RETRYABLE_REASONS
    if isinstance(outcome, calls.Served):
        return trial and call.idempotent and outcome.status >= MIN_FAILURE_STATUS
    return isinstance(outcome, calls.Unknown) and call.idempotent


def combine_outcomes(
    earlier: calls.Outcome | None, latest: calls.Outcome
) -> calls.Outcome:
    """Return the outcome to report to the caller after one more attempt.

    :param earlier: the combined outcome of the attempts before; None after the
        first attempt.
    :param latest: the outcome of the last attempt.
    :returns: the latest outcome, unless that attempt was not run and an earlier
        one may have run: then the earlier outcome.
    """
    if earlier is None or not isinstance(latest, calls.NotRun):
        return latest
    return latest if isinstance(earlier, calls.NotRun) else earlier
