"""Run the bench: ``python -m bench [--only NAME]``.

A part is a function without arguments that returns a report. It runs for a limited
time and stops every process that it starts.
"""

import argparse
import collections.abc
import pathlib
import sys
import time

from bench import floods, latency, measuring, placement, report

__all__ = ["PARTS_BY_NAME", "main"]

RESULTS_PATH = pathlib.Path(__file__).parent / "results" / "latest.json"

Part = collections.abc.Callable[[], report.PartReport]

PARTS_BY_NAME: dict[str, Part] = {
    "latency": latency.run,
    "floods": floods.run,
    "measuring": measuring.run,
    "placement": placement.run_two_regions,
    "placement-one-region": placement.run_one_region,
}


def main() -> int:
    """Run the requested parts, print their reports and write them to a file.

    :returns: the exit status; a missed target is only printed and doesn't change it.
    """
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("--only", choices=PARTS_BY_NAME, action="append")
    parser.add_argument("--output", type=pathlib.Path, default=RESULTS_PATH)
    options = parser.parse_args()
    for name in options.only or PARTS_BY_NAME:
        started = time.monotonic()
        part = PARTS_BY_NAME[name]()
        print(report.format_part(name, part))
        print(f"{name} took {time.monotonic() - started:.0f} s\n", flush=True)
        report.write_json(options.output, {name: part})
    return 0


if __name__ == "__main__":
    sys.exit(main())
