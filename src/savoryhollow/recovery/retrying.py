"""Whether a request may be placed again, and how often.

A call carries the attempts left for itself and for every call made beneath it.
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

# When a caller may come again if nothing better is known, in ms.
DEFAULT_RETRY_AFTER_MS = 200
# Retries that may be saved up for a service.
MAX_SAVED_RETRIES = 10.0
# HTTP statuses from this one on are failures of the backend server.
MIN_FAILURE_STATUS = 500
# Headers that a backend server passes on with the calls that it makes.
DEPTH_HEADER = "Savoryhollow-Depth"
ATTEMPTS_LEFT_HEADER = "Savoryhollow-Attempts-Left"

Answer = typing.TypeVar("Answer")
RunBackend = collections.abc.Callable[[messages.CallMessage, float], Answer]


class RetryBudget:
    """Allows retries as a share of first attempts.

    :param ratio: retries allowed per first attempt.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self._lock = threading.Lock()
        self._saved_retries = MAX_SAVED_RETRIES if ratio > 0 else 0.0

    @property
    def saved_retries(self) -> float:
        """The retries that may be made now."""
        return self._saved_retries

    def deposit(self) -> None:
        """Note a first attempt."""
        with self._lock:
            self._saved_retries = min(
                MAX_SAVED_RETRIES, self._saved_retries + self.ratio
            )

    def withdraw(self) -> bool:
        """Take one retry out, if there is one."""
        with self._lock:
            if self._saved_retries < 1.0:
                return False
            self._saved_retries -= 1.0
            return True


# ---------------------------------------------------------------------------
#   The attempts of a tree of calls
# ---------------------------------------------------------------------------


@dataclasses.dataclass(slots=True)
class AttemptAllowance:
    """The retries that one call may still make or pass on.

    A retry is either passed on with an attempt or kept here, never both. Where
    an attempt is proved not run, nothing beneath it ran either, so what was
    passed on comes back. Otherwise it counts as spent. Only the outermost call
    keeps one retry for that case: so one layer alone repeats work that may have
    run.

    :param passed_on: retries that the next attempt carries.
    :param kept: retries kept here.
    """

    passed_on: int
    kept: int

    @property
    def attempts_left(self) -> int:
        """The attempts that the next attempt carries, itself included."""
        return 1 + self.passed_on

    def take_retry(self, outcome: calls.Outcome) -> bool:
        """Take a retry out after an attempt, if there is one.

        :param outcome: what the attempt came to.
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
    """Return the allowance with which a call starts."""
    retries = max(0, call.attempts_left - 1)
    kept = 1 if call.depth == 0 and call.idempotent and retries else 0
    return AttemptAllowance(retries - kept, kept)


def with_allowance_headers(run: RunBackend[Answer]) -> RunBackend[Answer]:
    """Tell the backend server how deep it stands and what its calls may spend.

    :param run: sends a call to the backend server by a deadline.
    :returns: the same with the two headers added.
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
#   One request
# ---------------------------------------------------------------------------

# Refusals that another endpoint may answer otherwise.
_ELSEWHERE = frozenset(
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
    """Say whether a call may be placed on another endpoint.

    A request is placed again only on proof that it was not run, or where it is
    idempotent. A failure that the backend server answers is the caller's to
    judge, but for a trial: that risk was taken here.

    :param call: the call.
    :param outcome: what the last attempt came to.
    :param now: the present instant.
    :param trial: whether the attempt went to an endpoint that isn't trusted.
    :returns: whether another attempt is allowed.
    """
    if now >= call.deadline:
        return False
    if isinstance(outcome, calls.NotRun):
        return outcome.reason in _ELSEWHERE
    if isinstance(outcome, calls.Served):
        return trial and call.idempotent and outcome.status >= MIN_FAILURE_STATUS
    return isinstance(outcome, calls.Unknown) and call.idempotent


def combine_outcomes(
    earlier: calls.Outcome | None, latest: calls.Outcome
) -> calls.Outcome:
    """Return what a caller is told after one more attempt.

    :param earlier: what the attempts before came to; None before the first.
    :param latest: what the last attempt came to.
    :returns: the latest; but where it was not run and an earlier one may have
        been, that earlier one.
    """
    if earlier is None or not isinstance(latest, calls.NotRun):
        return latest
    return latest if isinstance(earlier, calls.NotRun) else earlier
