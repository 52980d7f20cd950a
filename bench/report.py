"""The results of a part of the bench, as a table and as JSON."""

import json
import pathlib
import typing

import msgspec

__all__ = ["PartReport", "Table", "Target", "format_part", "write_json"]

# Version of the results file. Increase it if a key is removed or changes its meaning.
RESULTS_VERSION = 1
# Decimal places in the printed tables.
DECIMALS = 2

Cell: typing.TypeAlias = str | int | float


class Table(msgspec.Struct, frozen=True):
    """A table of results; the name of a column contains its unit."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


class Target(msgspec.Struct, frozen=True):
    """A measured value and its target.

    :param limit: the highest value that meets the target.
    """

    text: str
    measured: float
    limit: float

    @property
    def met(self) -> bool:
        """Whether the measured value is within the limit."""
        return self.measured <= self.limit


class PartReport(msgspec.Struct, frozen=True):
    """The results of one part.

    :param notes: remarks that are necessary to interpret the values.
    """

    title: str
    table: Table
    targets: tuple[Target, ...] = ()
    notes: tuple[str, ...] = ()


def format_part(name: str, part: PartReport) -> str:
    """Return the report of a part as text for a terminal."""
    text_rows = [part.table.columns, *(_format_cells(row) for row in part.table.rows)]
    widths = [max(len(row[i]) for row in text_rows) for i in range(len(text_rows[0]))]
    lines = [f"== {name}: {part.title}"]
    for row in text_rows:
        padded = [text.rjust(w) for text, w in zip(row, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    for target in part.targets:
        status = "met   " if target.met else "MISSED"
        lines.append(
            f"{status} {target.text}: {target.measured:.2f}, limit {target.limit:.2f}"
        )
    lines.extend(f"note: {note}" for note in part.notes)
    return "\n".join(lines) + "\n"


def write_json(path: pathlib.Path, parts_by_name: dict[str, PartReport]) -> None:
    """Write the reports of parts to a results file, keeping its other parts.

    Results of another version are discarded.
    """
    document: dict[str, typing.Any] = {"version": RESULTS_VERSION, "parts": {}}
    if path.exists():
        existing = json.loads(path.read_text())
        if existing.get("version") == RESULTS_VERSION:
            document = existing
    for name, part in parts_by_name.items():
        met = [target.met for target in part.targets]
        document["parts"][name] = msgspec.to_builtins(part) | {"met": met}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n")


def _format_cells(row: tuple[Cell, ...]) -> tuple[str, ...]:
    return tuple(
        f"{cell:.{DECIMALS}f}" if isinstance(cell, float) else str(cell) for cell in row
    )
