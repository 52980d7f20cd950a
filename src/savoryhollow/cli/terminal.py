"""Keep lines within a narrow terminal."""

import collections.abc
import textwrap

__all__ = ["WIDTH", "fit"]

# Columns of a narrow terminal.
WIDTH = 60
# Further indent of the rest of a long line, in columns.
INDENT = 4


def fit(lines: collections.abc.Iterable[str]) -> list[str]:
    """Return lines with those that are too long broken into several.

    :param lines: the lines, each with its own indent.
    :returns: lines of at most 60 columns that hold the same text.
    """
    fitted: list[str] = []
    for line in lines:
        if len(line) <= WIDTH:
            fitted.append(line)
            continue
        indent = " " * (len(line) - len(line.lstrip()) + INDENT)
        fitted.extend(
            textwrap.wrap(line, WIDTH, subsequent_indent=indent, break_on_hyphens=False)
        )
    return fitted
