"""What every test shares: fixed seeds, and the tests known to be red."""

import pathlib
import signal
import sys

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.load_profile("fixed")

# An ordinary exit, so that no process of a deployment is left behind.
signal.signal(signal.SIGTERM, lambda *_: sys.exit("told to stop"))

ROOT = pathlib.Path(__file__).parent.parent


def known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test id."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.partition("|")[0].strip(): entry for entry in entries}


def pytest_collection_modifyitems(items):
    """Let the run pass over just the listed tests; they still run."""
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests at the end of every run."""
    for entry in known_red().values():
        terminalreporter.write_line(f"KNOWN RED: {entry}")
