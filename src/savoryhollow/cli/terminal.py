"""Keep lines within a narrow terminal."""

import collections.abc
import textwrap

__all__ = ["WIDTH", "wrap"]

# Columns of a narrow terminal.
WIDTH = 60
# Further indent of the rest of a long line, in columns.
CONTINUATION_INDENT = 4


def wrap(lines: collections.abc.Iterable[str]) -> list[str]:
    """Return lines with those that are too long broken into several.

    :param lines: the lines, each with its own indent.
    :returns: lines of at most 60 columns that hold the same text.
    """
    wrapped: list[str] = []
    for line in lines:
        if len(line) <= WIDTH:
            wrapped.append(line)
            continue
        indent = " " * (len(line) - len(line.lstrip()) + CONTINUATION_INDENT)
        wrapped.extend(
            textwrap.wrap(line, WIDTH, subsequent_indent=indent, break_on_hyphens=False)
        )
    return wrapped
