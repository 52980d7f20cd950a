"""Wrap lines for a narrow terminal."""

import collections.abc
import textwrap

__all__ = ["WIDTH", "wrap"]

# Maximum length of a line, in columns.
WIDTH = 60
# Additional indentation of the continuation of a wrapped line, in columns.
CONTINUATION_INDENT = 4


def wrap(lines: collections.abc.Iterable[str]) -> list[str]:
    """Wrap the lines that are longer than 60 columns.

    :param lines: the lines; each keeps its own indentation.
    :returns: the same text in lines of at most 60 columns.
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
