"""Command line of the soak test: ``python -m soak``."""

import pathlib
import random
import shutil
import tempfile
import typing

import msgspec
import typer

from soak import running

REGRESSIONS_PATH = pathlib.Path(__file__).parent / "regressions.json"
# Per run.
MAX_PRINTED_VIOLATIONS = 20

app = typer.Typer(add_completion=False)


class Case(msgspec.Struct, frozen=True):
    """A run of the soak test that failed once and can be repeated.

    :param seed: the seed of the run.
    :param seconds: the period within which steps start, in s.
    :param instances: the number of instances.
    :param cause: why the run failed.
    """

    seed: int
    seconds: float
    instances: int
    cause: str = ""


@app.command()
def soak(
    seed: typing.Annotated[
        int | None, typer.Option(help="The first seed; random by default.")
    ] = None,
    seeds: typing.Annotated[int, typer.Option(help="The number of seeds to run.")] = 1,
    seconds: typing.Annotated[
        float, typer.Option(help="The period within which steps start, in s.")
    ] = 26.0,
    instances: typing.Annotated[int, typer.Option(help="The number of instances.")] = 6,
    timed: typing.Annotated[
        bool, typer.Option(help="Also check the guarantees about time.")
    ] = True,
    regressions: typing.Annotated[
        bool, typer.Option(help="Run the seeds of past failures instead.")
    ] = False,
    folder: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="The folder for the logs of failed runs."),
    ] = None,
) -> None:
    """Run real daemons under random faults and check all guarantees."""
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
