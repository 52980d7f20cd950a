"""Whether a request may be placed again, and how often."""

from savoryhollow import calls

__all__ = ["RETRY_AFTER_MS", "RetryBudget", "may_place_again"]

# When a caller may come again if nothing better is known, in ms.
RETRY_AFTER_MS = 200
# Retries that may be saved up for a service.
SAVED_RETRIES = 10.0


class RetryBudget:
    """Allows retries as a share of first attempts.

    :param ratio: retries allowed per first attempt.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self._saved = SAVED_RETRIES

    @property
    def saved(self) -> float:
        """The retries that may be made now."""
        return self._saved

    def deposit(self) -> None:
        """Note a first attempt."""
        self._saved = min(SAVED_RETRIES, self._saved + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry out, if there is one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


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


def may_place_again(call: calls.Call, outcome: calls.Outcome, now: float) -> bool:
    """Say whether a call may be placed on another endpoint.

    A request is placed again only on proof that it was not run, or where it is
    idempotent.

    :param call: the call.
    :param outcome: what the last attempt came to.
    :param now: the present instant.
    :returns: whether another attempt is allowed.
    """
    if now >= call.deadline:
        return False
    if isinstance(outcome, calls.NotRun):
        return outcome.reason in _ELSEWHERE
    return isinstance(outcome, calls.Unknown) and call.idempotent
