"""Print the causes of lost worth on recorded days: ``python -m bench.recorded_days``.

Reads the entries that the users' bench writes to the journal. Each day loses worth
through requests that were not served well and through the cost of resources.
"""

import argparse
import collections
import pathlib
import sys

import matplotlib.figure
import msgspec

__all__ = ["RecordedDay", "losses_by_cause", "main", "read_entries_by_site"]

JOURNAL_PATH = pathlib.Path(__file__).parent.parent / "journal"
# Maximum number of causes listed by name; the losses of the others are added up.
MAX_NAMED_CAUSES = 6
OTHER_CAUSES = "other"
PLOT_SIZE_INCHES = (11, 5)


class RecordedDay(msgspec.Struct, frozen=True):
    """One day as recorded in the journal.

    :param worth: the value of the service to callers minus its cost.
    :param mark: the worth from which the day counts in full, if one is set.
    :param parts: the components of the worth: name, weight and value, which is at
        most 1.
    :param prices: the costs: name, amount, and the worth lost to it.
    """

    name: str
    worth: float = msgspec.field(name="G")
    mark: float | None = msgspec.field(name="top", default=None)
    parts: list[tuple[str, float, float]] = []
    prices: list[tuple[str, float, float]] = []
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0


class _Entry(msgspec.Struct, frozen=True):
    id: str
    cmd: str
    site: str | None = None
    days: list[RecordedDay] | None = None


def read_entries_by_site(
    journal: pathlib.Path, command: str
) -> dict[str, list[_Entry]]:
    """Return the entries of one command of the users' bench by site, oldest first.

    Entries without days are skipped; interrupted runs leave such entries.

    :param journal: the folder of the entries.
    :param command: the command that wrote the entries.
    """
    entries_by_site: dict[str, list[_Entry]] = collections.defaultdict(list)
    for path in sorted(journal.glob("*.json")):
        entry = msgspec.json.decode(path.read_bytes(), type=_Entry)
        if entry.cmd == command and entry.days:
            entries_by_site[entry.site or ""].append(entry)
    return dict(entries_by_site)


def losses_by_cause(day: RecordedDay) -> dict[str, float]:
    """Return the worth that a day lost to each cause, largest first."""
    losses = {name: weight * (1 - value) for name, weight, value in day.parts}
    losses |= {name: price for name, _, price in day.prices}
    sorted_losses = sorted(losses.items(), key=lambda item: -item[1])
    named_losses = dict(sorted_losses[:MAX_NAMED_CAUSES])
    named_losses[OTHER_CAUSES] = sum(
        loss for _, loss in sorted_losses[MAX_NAMED_CAUSES:]
    )
    return named_losses


def _print_entry(site: str, entry: _Entry) -> None:
    print(f"{site}, {entry.id}")
    for day in entry.days or ():
        mark = "" if day.mark is None else f" (mark {day.mark:.3f})"
        print(
            f"  {day.name:12} worth {day.worth:.3f}{mark}, in time {day.served:.3f},"
            f" refused {day.refused:.3f}, failed {day.failed:.3f}"
        )
        losses = losses_by_cause(day).items()
        print("    lost:", ", ".join(f"{name} {loss:.3f}" for name, loss in losses))


def _plot(entries_by_site: dict[str, list[_Entry]], path: pathlib.Path) -> None:
    """Plot the worth of each day over the entries of its site."""
    figure = matplotlib.figure.Figure(figsize=PLOT_SIZE_INCHES)
    axes = figure.subplots(1, len(entries_by_site), sharey=True, squeeze=False)
    for axis, (site, entries) in zip(axes[0], entries_by_site.items(), strict=True):
        worths_by_day: dict[str, dict[int, float]] = collections.defaultdict(dict)
        for index, entry in enumerate(entries):
            for day in entry.days or ():
                if not day.name.startswith("fresh"):
                    worths_by_day[day.name][index] = day.worth
        for name, worths_by_index in worths_by_day.items():
            axis.plot(
                list(worths_by_index),
                list(worths_by_index.values()),
                marker="o",
                label=name,
            )
        axis.set_title(site, fontsize="small")
        axis.set_xlabel("score, oldest first")
    axes[0][0].set_ylabel("worth of a day")
    axes[0][-1].legend(fontsize="x-small")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> int:
    """Print the newest entry of each site, and plot all entries with ``--plot``.

    :returns: the exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--journal", type=pathlib.Path, default=JOURNAL_PATH)
    parser.add_argument("--command", default="score")
    parser.add_argument(
        "--all",
        action="store_true",
        help="print every entry, not only the newest one of each site",
    )
    parser.add_argument(
        "--plot", type=pathlib.Path, help="write a plot of all entries to this SVG file"
    )
    options = parser.parse_args()
    entries_by_site = read_entries_by_site(options.journal, options.command)
    for site, entries in entries_by_site.items():
        for entry in entries if options.all else entries[-1:]:
            _print_entry(site, entry)
    if options.plot:
        _plot(entries_by_site, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
