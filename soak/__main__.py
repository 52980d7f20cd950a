"""Run the soak: ``python -m soak``."""

import pathlib
import random
import shutil
import tempfile
import typing

import msgspec
import typer

from soak import running

REGRESSIONS_PATH = pathlib.Path(__file__).parent / "regressions.json"
# Findings that are printed of one run.
MAX_PRINTED_VIOLATIONS = 20

app = typer.Typer(add_completion=False)


class Case(msgspec.Struct, frozen=True):
    """A run that can be repeated.

    :param cause: why it failed once.
    """

    seed: int
    seconds: float
    instances: int
    cause: str = ""


@app.command()
def soak(
    seed: typing.Annotated[
        int | None, typer.Option(help="The first seed; drawn if not given.")
    ] = None,
    seeds: typing.Annotated[int, typer.Option(help="How many seeds to run.")] = 1,
    seconds: typing.Annotated[
        float, typer.Option(help="How long faults go on, in s.")
    ] = 26.0,
    instances: typing.Annotated[int, typer.Option(help="Instances.")] = 6,
    timed: typing.Annotated[
        bool, typer.Option(help="Check promises about time too.")
    ] = True,
    regressions: typing.Annotated[
        bool, typer.Option(help="Run the seeds that failed once instead.")
    ] = False,
    folder: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Where logs of broken runs are kept.")
    ] = None,
) -> None:
    """Run real daemons under random faults and check every promise."""
    first_seed = random.SystemRandom().getrandbits(31) if seed is None else seed
    cases = [Case(first_seed + offset, seconds, instances) for offset in range(seeds)]
    if regressions:
        cases = msgspec.json.decode(REGRESSIONS_PATH.read_bytes(), type=list[Case])
    failed = sum(_run(case, timed, folder) for case in cases)
    print(f"{failed} of {len(cases)} seeds violated a guarantee", flush=True)
    raise typer.Exit(1 if failed else 0)


def _run(case: Case, timed: bool, folder: pathlib.Path | None) -> bool:
    logs = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{case.seed}-", dir=folder))
    report = running.run(case.seed, case.seconds, case.instances, logs, timed)
    statuses = dict(sorted(report.statuses.items()))
    print(
        f"seed {case.seed}: {len(report.violations)} violations, "
        f"{statuses}, {report.runs} runs"
    )
    print(f"  steps: {dict(sorted(report.steps.items()))}", flush=True)
    for violation in report.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"  {violation}")
    if report.violations:
        print(f"  logs: {logs}", flush=True)
    else:
        shutil.rmtree(logs)
    return bool(report.violations)


if __name__ == "__main__":
    app()
