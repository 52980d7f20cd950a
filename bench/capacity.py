"""Calculate the tables of docs/CAPACITY.md from the recorded slopes.

    python -m bench.capacity

This module measures nothing; ``python -m bench.slopes`` records the slopes.
"""

import dataclasses
import math

import msgspec

from bench import slopes

__all__ = ["render"]

# The design size.
ENDPOINTS = 8_800
SERVICES = 340
CALLS_PER_S = 520_000
REGIONS = 4
ZONES = 12
CHANGES_PER_DAY = 6_700
FAILURES_PER_DAY = 19
REPLACEMENTS_PER_DAY = 470
DAY_S = 86_400
# Limits of the control work of one daemon, and of the platform.
MAX_CORE_SHARE = 0.041
MAX_MEMORY_MB = 32.0
MAX_BYTES_PER_S = 3_000.0
MAX_PLATFORM_CALLS_PER_S = 2_000.0
MAX_VALUE_BYTES = 1_000_000
MAX_SPREAD_S = 3.0
# Changes of the instance list per failure (the endpoint is removed, then added again)
# and per replacement (the endpoint is leaving, it is removed, the new one is live).
LIST_CHANGES_PER_FAILURE = 2
LIST_CHANGES_PER_REPLACEMENT = 3
# Services that one daemon calls.
CALLED_SERVICES = 5
# Readers per zone. Each keeps one watch open and reads the list once per second.
READERS_PER_ZONE = 3
WATCH_WAIT_S = 2.0
LIST_READ_INTERVAL_S = 1.0
# Neighbours of a daemon that is not a reader.
NEIGHBOURS = 4
RACK_ENDPOINTS = 40
# Hops outside the zone that gets a revision first: to another zone, to another region.
OUTER_HOPS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of a table.

    :param limit: the limit, or an empty string if there is none.
    :param fits: whether the value is within the limit; None if there is none.
    """

    name: str
    mechanism: str
    value: str
    limit: str = ""
    fits: bool | None = None


class Estimates:
    """The quantities at the design size."""

    def __init__(self, recorded: list[slopes.Slope]):
        self._slopes_by_name = {slope.name: slope for slope in recorded}

    def value_at(self, name: str, size: float) -> float:
        """Return the quantity that the fitted line gives at a size."""
        return self._slopes_by_name[name].value_at(size)

    def measured_at_largest_size(self, name: str) -> float:
        """Return the quantity measured at the largest size."""
        return self._slopes_by_name[name].points[-1][1]

    def slope(self, name: str) -> float:
        """Return the increase of a quantity per unit of size."""
        return self._slopes_by_name[name].slope

    changes_per_s = CHANGES_PER_DAY / DAY_S
    list_changes_per_s = (
        FAILURES_PER_DAY * LIST_CHANGES_PER_FAILURE
        + REPLACEMENTS_PER_DAY * LIST_CHANGES_PER_REPLACEMENT
    ) / DAY_S
    calls_per_daemon_s = CALLS_PER_S / ENDPOINTS

    @property
    def processor_share(self) -> float:
        """Processor time of the control work of one daemon, as a share of a core."""
        accept_s = self.value_at("configuration, accepted", SERVICES) / 1e3
        return (
            self.measured_at_largest_size("spread, idle_cpu_share")
            + accept_s * self.changes_per_s
            + self.list_change_s * self.list_changes_per_s
        )

    @property
    def list_change_s(self) -> float:
        """Processor time of one change of the instance list, in s."""
        change_ms = self.value_at("list, one entry changed", ENDPOINTS)
        return (change_ms + self.value_at("list, places worked out", ENDPOINTS)) / 1e3

    @property
    def idle_daemon_mb(self) -> float:
        """Resident memory of an idle daemon, in MB."""
        return self.measured_at_largest_size("spread, rss_mb")

    @property
    def list_mb(self) -> float:
        """Memory of the list and of the decoded entries of called services, in MB."""
        decoded_count = CALLED_SERVICES * ENDPOINTS / SERVICES
        texts_kb = self.value_at("list, held as texts", ENDPOINTS)
        return (texts_kb + self.value_at("list, held in detail", decoded_count)) / 1e3

    @property
    def configuration_mb(self) -> float:
        """Memory of the files and the models of the configuration, in MB."""
        return self.value_at("configuration, held", SERVICES) / 1e3

    @property
    def bytes_per_s(self) -> float:
        """Bytes per second that one daemon sends to and receives from other daemons."""
        bytes_per_change = self.measured_at_largest_size("spread, revision_bytes")
        all_changes_per_s = self.changes_per_s + self.list_changes_per_s
        return (
            self.measured_at_largest_size("spread, idle_bytes_per_s")
            + bytes_per_change * all_changes_per_s
        )

    @property
    def reader_bytes_per_s(self) -> float:
        """Bytes per second that one reader receives from the store."""
        config_bytes_per_s = (
            self.value_at("configuration, whole", SERVICES) * self.changes_per_s
        )
        return config_bytes_per_s + self.platform_list_bytes * self.list_changes_per_s

    @property
    def relayed_list_bytes(self) -> float:
        """Size of the whole instance list as daemons send it to each other."""
        return self.value_at("list, sent whole", ENDPOINTS)

    @property
    def platform_list_bytes(self) -> float:
        """Size of the whole instance list as the platform sends it."""
        return self.value_at("list, as the platform tells it", ENDPOINTS)

    @property
    def platform_calls_per_s(self) -> float:
        """Calls per second by all readers; a waiting watch counts as one call."""
        readers = READERS_PER_ZONE * ZONES
        reads_per_reader_s = 1 / WATCH_WAIT_S + 1 / LIST_READ_INTERVAL_S
        return readers * (reads_per_reader_s + self.changes_per_s)

    @property
    def relay_link_bytes_per_s(self) -> float:
        """Bytes per second that readers exchange with readers of other regions."""
        other_regions = REGIONS - 1
        comparison_bytes_per_s = (
            self.measured_at_largest_size("spread, idle_bytes_per_s")
            / 2
            / (NEIGHBOURS + other_regions)
        )
        change_bytes = self.value_at("configuration, one file changed", SERVICES)
        bytes_per_pair_s = comparison_bytes_per_s + change_bytes * self.changes_per_s
        return READERS_PER_ZONE * ZONES * other_regions * bytes_per_pair_s

    @property
    def store_link_bytes_per_s(self) -> float:
        """Bytes per second that readers of the other regions read from the store."""
        readers = READERS_PER_ZONE * ZONES * (REGIONS - 1) / REGIONS
        return readers * self.reader_bytes_per_s

    @property
    def hops(self) -> float:
        """Hops until every daemon has a revision, by the depth of the largest zone."""
        return self.measured_at_largest_size("relay, hops through a zone") + OUTER_HOPS

    @property
    def spread_s(self) -> float:
        """Time until a revision is in force everywhere if no hop fails, in s.

        It is assumed that each hop goes to the last neighbour of the previous daemon,
        after all its other neighbours have accepted the revision.
        """
        accept_s = self.value_at("configuration, accepted", SERVICES) / 1e3
        measured_s = self.measured_at_largest_size("spread, all_max_ms") / 1e3
        return measured_s + self.hops * NEIGHBOURS * accept_s


# ---------------------------------------------------------------------------
#   Tables
# ---------------------------------------------------------------------------


def daemon_rows(design: Estimates) -> list[Row]:
    """Return the rows about a single daemon."""
    control_share = design.processor_share
    memory_mb = design.idle_daemon_mb + design.list_mb + design.configuration_mb
    calls_per_s = design.calls_per_daemon_s
    data_path_share = design.slope("call, routed and half served here") * calls_per_s
    data_path_share += design.slope("call, served for another") * calls_per_s / 2
    return [
        _limited_row(
            "control, processor", "all below", control_share, MAX_CORE_SHARE, "core"
        ),
        _row(
            "- comparisons",
            "relay",
            design.measured_at_largest_size("spread, idle_cpu_share"),
            "core",
        ),
        _row(
            "- accepting changes",
            "acceptance",
            design.value_at("configuration, accepted", SERVICES)
            / 1e3
            * design.changes_per_s,
            "core",
        ),
        _row(
            "- changes of the list",
            "membership",
            design.list_change_s * design.list_changes_per_s,
            "core",
        ),
        _limited_row("memory, resident", "all below", memory_mb, MAX_MEMORY_MB, "MB"),
        _row(
            "- an idle daemon of a small fleet", "imports", design.idle_daemon_mb, "MB"
        ),
        _row("- the list", "membership", design.list_mb, "MB"),
        _row("- the configuration", "acceptance", design.configuration_mb, "MB"),
        _limited_row(
            "bytes between daemons", "relay", design.bytes_per_s, MAX_BYTES_PER_S, "B/s"
        ),
        _row("calls routed", "router and gate", calls_per_s, "calls/s"),
        _row(
            "calls, processor (not control)", "router and gate", data_path_share, "core"
        ),
    ]


def fleet_rows(design: Estimates) -> list[Row]:
    """Return the rows about the readers, the platform and the fleet."""
    return [
        _limited_row(
            "a reader, bytes from the store",
            "watch and list",
            design.reader_bytes_per_s,
            MAX_BYTES_PER_S,
            "B/s",
        ),
        _limited_row(
            "platform calls",
            "36 readers",
            design.platform_calls_per_s,
            MAX_PLATFORM_CALLS_PER_S,
            "calls/s",
        ),
        _limited_row(
            "the list as one value",
            "list",
            design.platform_list_bytes,
            MAX_VALUE_BYTES,
            "B",
        ),
        _row(
            "between regions, the relay",
            "far readers",
            design.relay_link_bytes_per_s,
            "B/s",
        ),
        _row(
            "between regions, reads of the store",
            "watch and list",
            design.store_link_bytes_per_s,
            "B/s",
        ),
        _row("hops of a revision", "relay", design.hops, "hops"),
        _limited_row(
            "in force everywhere", "relay", design.spread_s, MAX_SPREAD_S, "s"
        ),
    ]


def event_rows(design: Estimates) -> list[Row]:
    """Return the rows about an ordinary day, losses and a network partition."""
    entry_bytes = design.slope("list, sent whole")
    zone_size = ENDPOINTS // ZONES
    bytes_per_day = CHANGES_PER_DAY * design.measured_at_largest_size(
        "spread, revision_bytes"
    )
    starts_per_day = FAILURES_PER_DAY + REPLACEMENTS_PER_DAY
    start_bytes = design.relayed_list_bytes + design.value_at(
        "configuration, whole", SERVICES
    )
    return [
        _row("ordinary day: revisions, a daemon", "relay", bytes_per_day / 1e6, "MB"),
        _row("ordinary day: starts", "comparison", starts_per_day, "a day"),
        _row("a start: list and configuration", "comparison", start_bytes / 1e3, "kB"),
        _row(
            "a rack: its entries, a daemon", "relay", RACK_ENDPOINTS * entry_bytes, "B"
        ),
        _row("a zone: its entries, a daemon", "relay", zone_size * entry_bytes, "B"),
        _row(
            "a zone, at 3 KB/s", "relay", zone_size * entry_bytes / MAX_BYTES_PER_S, "s"
        ),
        _row("a zone returns: reads of the store", "start", 2 * zone_size, "calls"),
        _row(
            "parted 10 minutes: revisions missed",
            "comparison",
            math.ceil(design.changes_per_s * 600),
            "revisions",
        ),
    ]


def _row(name: str, mechanism: str, value: float, unit: str) -> Row:
    return Row(name, mechanism, _format_value(value, unit))


def _limited_row(name, mechanism, value: float, limit: float, unit: str) -> Row:
    fits = value <= limit
    return Row(
        name, mechanism, _format_value(value, unit), _format_value(limit, unit), fits
    )


def _format_value(value: float, unit: str) -> str:
    if unit == "core":
        return f"{value * 100:.2f}% of a core"
    return f"{value:,.1f} {unit}" if value < 1_000 else f"{value:,.0f} {unit}"


def _format_table(rows: list[Row]) -> str:
    text_lines = [
        "| what | mechanism | at this size | limit | fits |",
        "|---|---|---|---|---|",
    ]
    for row in rows:
        fits = {True: "yes", False: "**no**", None: ""}[row.fits]
        cells = (row.name, row.mechanism, row.value, row.limit, fits)
        text_lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(text_lines)


def _format_slope_table(recorded: list[slopes.Slope]) -> str:
    text_lines = [
        "| slope | points | per unit | R2 | command |",
        "|---|---|---|---|---|",
    ]
    for slope in recorded:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        per_unit = (
            f"{slope.slope:.3g} {slope.unit}/{slope.per}" if slope.per else slope.unit
        )
        r2 = f"{slope.r2:.3f}" if len(slope.points) > 2 else ""
        text_lines.append(
            f"| {slope.name} | {points} | {per_unit} | {r2} | `{slope.command}` |"
        )
    return "\n".join(text_lines)


def render(recorded: list[slopes.Slope]) -> str:
    """Return all tables in the form that docs/CAPACITY.md contains."""
    design = Estimates(recorded)
    return "\n\n".join(
        (
            "### Every daemon",
            _format_table(daemon_rows(design)),
            "### Readers, platform and fleet",
            _format_table(fleet_rows(design)),
            "### Ordinary days and losses",
            _format_table(event_rows(design)),
            "### Slopes",
            _format_slope_table(recorded),
        )
    )


def load() -> list[slopes.Slope]:
    """Return the recorded slopes."""
    return msgspec.json.decode(
        slopes.RESULTS_PATH.read_bytes(), type=list[slopes.Slope]
    )


def main() -> None:
    """Print the tables."""
    print(render(load()))


if __name__ == "__main__":
    main()
