"""Work out docs/CAPACITY.md's tables from the recorded slopes.

    python -m bench.capacity

Nothing is measured here; ``python -m bench.slopes`` records the slopes.
"""

import dataclasses
import math

import msgspec

from bench import slopes

__all__ = ["render"]

# The size to design for.
ENDPOINTS = 8_800
SERVICES = 340
CALLS_PER_S = 520_000
REGIONS = 4
ZONES = 12
CHANGES_PER_DAY = 6_700
FAILURES_PER_DAY = 19
REPLACEMENTS_PER_DAY = 470
DAY_S = 86_400
# Limits of one daemon's control, and of the platform.
MAX_CORE_SHARE = 0.041
MAX_MEMORY_MB = 32.0
MAX_BYTES_PER_S = 3_000.0
MAX_PLATFORM_CALLS_PER_S = 2_000.0
MAX_VALUE_BYTES = 1_000_000
MAX_SPREAD_S = 3.0
# Changes of the list for one failure and for one replacement: gone and back;
# leaving, gone and the new one live.
LIST_CHANGES_PER_FAILURE = 2
LIST_CHANGES_PER_REPLACEMENT = 3
# Services that one daemon calls.
SERVICES_CALLED = 5
# Readers of one zone; each has one watch open and reads the list once a second.
READERS_PER_ZONE = 3
WATCH_S = 2.0
LIST_INTERVAL_S = 1.0
# Neighbours of a daemon that is no reader.
NEIGHBOURS = 4
# Endpoints of one rack.
RACK_ENDPOINTS = 40
# Hops that lie outside the zone that hears first: to another zone, another region.
OUTER_HOPS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a table; the limit is left out where none applies."""

    name: str
    mechanism: str
    value: str
    limit: str = ""
    fits: bool | None = None


class Estimates:
    """The quantities at the letter's size.

    :param recorded: the slopes.
    """

    def __init__(self, recorded: list[slopes.Slope]):
        self._slopes_by_name = {slope.name: slope for slope in recorded}

    def value_at(self, name: str, size: float) -> float:
        """Return a quantity at a size, by the line through its points."""
        return self._slopes_by_name[name].value_at(size)

    def last(self, name: str) -> float:
        """Return a quantity as measured at the greatest size."""
        return self._slopes_by_name[name].points[-1][1]

    def slope(self, name: str) -> float:
        """Return a quantity per unit of size."""
        return self._slopes_by_name[name].slope

    # -----------------------------------------------------------------------
    #   Rates
    # -----------------------------------------------------------------------

    changes_per_s = CHANGES_PER_DAY / DAY_S
    list_changes_per_s = (
        FAILURES_PER_DAY * LIST_CHANGES_PER_FAILURE
        + REPLACEMENTS_PER_DAY * LIST_CHANGES_PER_REPLACEMENT
    ) / DAY_S
    calls_per_daemon_s = CALLS_PER_S / ENDPOINTS

    # -----------------------------------------------------------------------
    #   One daemon
    # -----------------------------------------------------------------------

    @property
    def processor_share(self) -> float:
        """Control of one daemon, of a core."""
        accept = self.value_at("configuration, accepted", SERVICES) / 1e3
        return (
            self.last("spread, idle_cpu_share")
            + accept * self.changes_per_s
            + self.list_change_s * self.list_changes_per_s
        )

    @property
    def list_change_s(self) -> float:
        """Processor time of one change of the list, in s."""
        change = self.value_at("list, one entry changed", ENDPOINTS)
        return (change + self.value_at("list, places worked out", ENDPOINTS)) / 1e3

    @property
    def base_mb(self) -> float:
        """Resident memory of an idle daemon."""
        return self.last("spread, rss_mb")

    @property
    def list_mb(self) -> float:
        """The list as texts, with the services called in detail."""
        called = SERVICES_CALLED * ENDPOINTS / SERVICES
        texts = self.value_at("list, held as texts", ENDPOINTS)
        return (texts + self.value_at("list, held in detail", called)) / 1e3

    @property
    def configuration_mb(self) -> float:
        """The files and the models of the configuration."""
        return self.value_at("configuration, held", SERVICES) / 1e3

    @property
    def bytes_per_s(self) -> float:
        """Sent and received between daemons by one of them."""
        per_change = self.last("spread, revision_bytes")
        changes = self.changes_per_s + self.list_changes_per_s
        return self.last("spread, idle_bytes_per_s") + per_change * changes

    @property
    def reader_bytes_per_s(self) -> float:
        """Received from the store by one reader."""
        configuration = (
            self.value_at("configuration, whole", SERVICES) * self.changes_per_s
        )
        return configuration + self.told_list_bytes * self.list_changes_per_s

    @property
    def list_bytes(self) -> float:
        """The whole list, as daemons pass it on."""
        return self.value_at("list, sent whole", ENDPOINTS)

    @property
    def told_list_bytes(self) -> float:
        """The whole list, as the platform tells it."""
        return self.value_at("list, as the platform tells it", ENDPOINTS)

    @property
    def platform_calls_per_s(self) -> float:
        """Made by all readers, with a waiting watch counted as one."""
        readers = READERS_PER_ZONE * ZONES
        per_reader = 1 / WATCH_S + 1 / LIST_INTERVAL_S
        return readers * (per_reader + self.changes_per_s)

    @property
    def relay_link_bytes_per_s(self) -> float:
        """Sent between all regions by readers that compare with far readers."""
        far = REGIONS - 1
        compared = self.last("spread, idle_bytes_per_s") / 2 / (NEIGHBOURS + far)
        change = self.value_at("configuration, one file changed", SERVICES)
        per_pair = compared + change * self.changes_per_s
        return READERS_PER_ZONE * ZONES * far * per_pair

    @property
    def store_link_bytes_per_s(self) -> float:
        """Read from the store by the readers of the other regions."""
        readers = READERS_PER_ZONE * ZONES * (REGIONS - 1) / REGIONS
        return readers * self.reader_bytes_per_s

    @property
    def hops(self) -> float:
        """Hops until every daemon has a revision, by the depth of the largest zone."""
        return self.last("relay, hops through a zone") + OUTER_HOPS

    @property
    def spread_s(self) -> float:
        """Time until a revision is in force everywhere, with no hop that fails.

        Each hop is taken to reach the daemon that counts as the last neighbour of
        the one before, after all others of its neighbours have accepted.
        """
        accept_s = self.value_at("configuration, accepted", SERVICES) / 1e3
        measured = self.last("spread, all_max_ms") / 1e3
        return measured + self.hops * NEIGHBOURS * accept_s


# ---------------------------------------------------------------------------
#   Tables
# ---------------------------------------------------------------------------


def daemon_lines(e: Estimates) -> list[Line]:
    """Return the lines of every daemon."""
    control = e.processor_share
    memory = e.base_mb + e.list_mb + e.configuration_mb
    rate = e.calls_per_daemon_s
    data = e.slope("call, routed and half served here") * rate
    data += e.slope("call, served for another") * rate / 2
    return [
        _limited("control, processor", "all below", control, MAX_CORE_SHARE, "core"),
        _plain("- comparisons", "relay", e.last("spread, idle_cpu_share"), "core"),
        _plain(
            "- accepting changes",
            "acceptance",
            e.value_at("configuration, accepted", SERVICES) / 1e3 * e.changes_per_s,
            "core",
        ),
        _plain(
            "- changes of the list",
            "membership",
            e.list_change_s * e.list_changes_per_s,
            "core",
        ),
        _limited("memory, resident", "all below", memory, MAX_MEMORY_MB, "MB"),
        _plain("- an idle daemon of a small fleet", "imports", e.base_mb, "MB"),
        _plain("- the list", "membership", e.list_mb, "MB"),
        _plain("- the configuration", "acceptance", e.configuration_mb, "MB"),
        _limited(
            "bytes between daemons", "relay", e.bytes_per_s, MAX_BYTES_PER_S, "B/s"
        ),
        _plain("calls routed", "router and gate", rate, "calls/s"),
        _plain("calls, processor (not control)", "router and gate", data, "core"),
    ]


def fleet_lines(e: Estimates) -> list[Line]:
    """Return the lines of readers, platform and fleet."""
    return [
        _limited(
            "a reader, bytes from the store",
            "watch and list",
            e.reader_bytes_per_s,
            MAX_BYTES_PER_S,
            "B/s",
        ),
        _limited(
            "platform calls",
            "36 readers",
            e.platform_calls_per_s,
            MAX_PLATFORM_CALLS_PER_S,
            "calls/s",
        ),
        _limited(
            "the list as one value", "list", e.told_list_bytes, MAX_VALUE_BYTES, "B"
        ),
        _plain(
            "between regions, the relay", "far readers", e.relay_link_bytes_per_s, "B/s"
        ),
        _plain(
            "between regions, reads of the store",
            "watch and list",
            e.store_link_bytes_per_s,
            "B/s",
        ),
        _plain("hops of a revision", "relay", e.hops, "hops"),
        _limited("in force everywhere", "relay", e.spread_s, MAX_SPREAD_S, "s"),
    ]


def event_lines(e: Estimates) -> list[Line]:
    """Return the lines of an ordinary day, of losses and of a parting."""
    entry = e.slope("list, sent whole")
    zone = ENDPOINTS // ZONES
    wave = CHANGES_PER_DAY * e.last("spread, revision_bytes")
    starts = FAILURES_PER_DAY + REPLACEMENTS_PER_DAY
    start = e.list_bytes + e.value_at("configuration, whole", SERVICES)
    return [
        _plain("ordinary day: revisions, a daemon", "relay", wave / 1e6, "MB"),
        _plain("ordinary day: starts", "comparison", starts, "a day"),
        _plain("a start: list and configuration", "comparison", start / 1e3, "kB"),
        _plain("a rack: its entries, a daemon", "relay", RACK_ENDPOINTS * entry, "B"),
        _plain("a zone: its entries, a daemon", "relay", zone * entry, "B"),
        _plain("a zone, at 3 KB/s", "relay", zone * entry / MAX_BYTES_PER_S, "s"),
        _plain("a zone returns: reads of the store", "start", 2 * zone, "calls"),
        _plain(
            "parted 10 minutes: revisions missed",
            "comparison",
            math.ceil(e.changes_per_s * 600),
            "revisions",
        ),
    ]


def _plain(name: str, mechanism: str, value: float, unit: str) -> Line:
    return Line(name, mechanism, _number(value, unit))


def _limited(name, mechanism, value: float, limit: float, unit: str) -> Line:
    fits = value <= limit
    return Line(name, mechanism, _number(value, unit), _number(limit, unit), fits)


def _number(value: float, unit: str) -> str:
    if unit == "core":
        return f"{value * 100:.2f}% of a core"
    return f"{value:,.1f} {unit}" if value < 1_000 else f"{value:,.0f} {unit}"


def _table(lines: list[Line]) -> str:
    rows = [
        "| what | mechanism | at this size | limit | fits |",
        "|---|---|---|---|---|",
    ]
    for line in lines:
        fits = {True: "yes", False: "**no**", None: ""}[line.fits]
        cells = (line.name, line.mechanism, line.value, line.limit, fits)
        rows.append(f"| {' | '.join(cells)} |")
    return "\n".join(rows)


def _slope_table(recorded: list[slopes.Slope]) -> str:
    rows = ["| slope | points | per unit | R2 | command |", "|---|---|---|---|---|"]
    for slope in recorded:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        per = f"{slope.slope:.3g} {slope.unit}/{slope.per}" if slope.per else slope.unit
        r2 = f"{slope.r2:.3f}" if len(slope.points) > 2 else ""
        rows.append(f"| {slope.name} | {points} | {per} | {r2} | `{slope.command}` |")
    return "\n".join(rows)


def render(recorded: list[slopes.Slope]) -> str:
    """Return every table as it stands in docs/CAPACITY.md."""
    estimates = Estimates(recorded)
    return "\n\n".join(
        (
            "### Every daemon",
            _table(daemon_lines(estimates)),
            "### Readers, platform and fleet",
            _table(fleet_lines(estimates)),
            "### Ordinary days and losses",
            _table(event_lines(estimates)),
            "### Slopes",
            _slope_table(recorded),
        )
    )


def load() -> list[slopes.Slope]:
    """Return the recorded slopes."""
    return msgspec.json.decode(slopes.RESULTS.read_bytes(), type=list[slopes.Slope])


def main() -> None:
    """Print the tables."""
    print(render(load()))


if __name__ == "__main__":
    main()
