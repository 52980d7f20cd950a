"""Compute and format the table of services and ranks, summed over daemons."""

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
    """The requests of one rank of a service.

    :param asked: requests received from callers.
    :param not_run: requests that were refused.
    :param served_by_bucket: served requests by response time, see
        :data:`savoryhollow.observe.requests.BUCKETS_S`.
    """

    service: str
    rank: str
    asked: int
    not_run: int
    served_by_bucket: tuple[int, ...]

    def percentile_s(self, percentile: float) -> float:
        """Return the upper bound of the bucket that contains a percentile, in s.

        :param percentile: between 0 and 100.
        :returns: infinity beyond the last bound, NaN if no request was served.
        """
        target = sum(self.served_by_bucket) * percentile / 100
        if not target:
            return math.nan
        cumulative = 0
        for bound, count in zip(
            (*requests.BUCKETS_S, math.inf), self.served_by_bucket, strict=True
        ):
            cumulative += count
            if cumulative >= target:
                return bound
        return math.inf


def sum_rows(replies: collections.abc.Iterable[operator_client.DumpReply]) -> list[Row]:
    """Sum the request counts of several daemons.

    :param replies: their dumps.
    :returns: one row for each service and rank, sorted by their names.
    """
    rows_by_pair: dict[tuple[str, str], Row] = {}
    for reply in replies:
        for total in reply.requests:
            pair = (total.service, total.rank)
            current = rows_by_pair.get(pair)
            row = _make_row(total)
            rows_by_pair[pair] = row if current is None else _combine(current, row, 1)
    return [rows_by_pair[pair] for pair in sorted(rows_by_pair)]


def rows_between(earlier: list[Row], later: list[Row]) -> list[Row]:
    """Return the requests counted between two tables.

    The counts of a daemon that restarted in between begin at zero. If that makes
    a difference negative, the row of the later table is returned unchanged.
    """
    earlier_by_pair = {(row.service, row.rank): row for row in earlier}
    rows = []
    for row in later:
        previous = earlier_by_pair.get((row.service, row.rank))
        change = row if previous is None else _combine(row, previous, -1)
        is_valid = min(change.asked, change.not_run, *change.served_by_bucket) >= 0
        rows.append(change if is_valid else row)
    return rows


def table_lines(table: list[Row]) -> list[str]:
    """Return a table as lines for a terminal of 60 columns."""
    return [HEADING] + [_line(row) for row in table]


def _make_row(total: requests.RequestTotal) -> Row:
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
        tuple(left + sign * right for left, right in pairs),
    )


def _line(row: Row) -> str:
    names = f"{row.service[:SERVICE_WIDTH]:15}{row.rank[:RANK_WIDTH]:11}"
    times = "".join(f"{_format_time(row.percentile_s(p)):>8}" for p in (50, 99))
    return f"{names}{row.asked:8}{row.not_run:8}{times}"


def _format_time(seconds: float) -> str:
    if math.isnan(seconds):
        return "-"
    if math.isinf(seconds):
        return f">{requests.BUCKETS_S[-1] * 1e3:.0f}"
    return f"<{seconds * 1e3:g}"
