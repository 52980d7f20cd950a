"""The table of services by rank, summed over daemons."""

import collections.abc
import dataclasses
import math

from savoryhollow.cli import operator_client
from savoryhollow.observe import requests

__all__ = ["Row", "rows_between", "sum_rows", "table_lines"]

HEADING = (
    f"{'service':15}{'rank':11}{'asked':>8}{'not run':>8}{'p50 ms':>8}{'p99 ms':>8}"
)
SERVICE_WIDTH = 14
RANK_WIDTH = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One rank of a service.

    :param asked: requests of callers.
    :param not_run: those that were refused.
    :param served_by_bucket: served ones by response time, see
        :data:`savoryhollow.observe.requests.BUCKETS_S`.
    """

    service: str
    rank: str
    asked: int
    not_run: int
    served_by_bucket: tuple[int, ...]

    def percentile_s(self, percentile: float) -> float:
        """Return the upper bound of the bucket that holds a percentile, in s.

        :param percentile: between 0 and 100.
        :returns: infinity beyond the last bucket, not a number without data.
        """
        needed = sum(self.served_by_bucket) * percentile / 100
        if not needed:
            return math.nan
        below = 0
        for bound, count in zip(
            (*requests.BUCKETS_S, math.inf), self.served_by_bucket, strict=True
        ):
            below += count
            if below >= needed:
                return bound
        return math.inf


def sum_rows(replies: collections.abc.Iterable[operator_client.DumpReply]) -> list[Row]:
    """Return the sum of the requests that several daemons have counted.

    :param replies: their dumps.
    :returns: a row for each rank, in the order of their names.
    """
    by_pair: dict[tuple[str, str], Row] = {}
    for reply in replies:
        for total in reply.requests:
            pair = (total.service, total.rank)
            known = by_pair.get(pair)
            row = _row(total)
            by_pair[pair] = row if known is None else _combine(known, row, 1)
    return [by_pair[pair] for pair in sorted(by_pair)]


def rows_between(earlier: list[Row], later: list[Row]) -> list[Row]:
    """Return what was counted between two tables.

    A daemon that was replaced in between counts from zero; where that makes a
    row negative, the later row is shown as it is.
    """
    known_by_pair = {(row.service, row.rank): row for row in earlier}
    found = []
    for row in later:
        known = known_by_pair.get((row.service, row.rank))
        change = row if known is None else _combine(row, known, -1)
        whole = min(change.asked, change.not_run, *change.served_by_bucket) >= 0
        found.append(change if whole else row)
    return found


def table_lines(table: list[Row]) -> list[str]:
    """Return a table as text for a terminal of 60 columns."""
    return [HEADING] + [_line(row) for row in table]


def _row(total: requests.RequestTotal) -> Row:
    return Row(
        total.service,
        total.rank,
        sum(total.outcomes.values()),
        total.outcomes.get("not-run", 0),
        tuple(total.served_by_bucket),
    )


def _combine(row: Row, other: Row, sign: int) -> Row:
    pairs = zip(row.served_by_bucket, other.served_by_bucket, strict=True)
    return Row(
        row.service,
        row.rank,
        row.asked + sign * other.asked,
        row.not_run + sign * other.not_run,
        tuple(mine + sign * theirs for mine, theirs in pairs),
    )


def _line(row: Row) -> str:
    names = f"{row.service[:SERVICE_WIDTH]:15}{row.rank[:RANK_WIDTH]:11}"
    times = "".join(f"{_shown(row.percentile_s(p)):>8}" for p in (50, 99))
    return f"{names}{row.asked:8}{row.not_run:8}{times}"


def _shown(seconds: float) -> str:
    if math.isnan(seconds):
        return "-"
    if math.isinf(seconds):
        return f">{requests.BUCKETS_S[-1] * 1e3:.0f}"
    return f"<{seconds * 1e3:g}"
