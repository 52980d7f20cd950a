"""The ``savoryhollow`` command."""

import dataclasses
import json
import pathlib
import sys
import time
import typing
from typing import Annotated

import typer

from savoryhollow import decoding, errors
from savoryhollow.cli import (
    configuration_text,
    operator_client,
    reference,
    service_table,
    terminal,
    tracing,
)
from savoryhollow.configuration import inspection, merging
from savoryhollow.daemon import process

__all__ = ["app"]

# Exit statuses. Typer exits with 2 on wrong usage.
REJECTED = 1
UNREACHABLE = 3
MAX_PORT = 65535
# Clears the terminal and moves the cursor to the top left corner.
CLEAR = "\x1b[2J\x1b[H"

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="A load balancer for servers whose load shifts in milliseconds.",
    epilog="Exit statuses: 0 done, 1 rejected or not found, 2 wrong usage, "
    "3 a daemon cannot be reached.",
)

Folder = Annotated[pathlib.Path, typer.Argument(help="The configuration folder.")]


def _parse_operator(text: str) -> str:
    host, _, port = text.rpartition(":")
    is_valid_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    if not host or not is_valid_port or "/" in host:
        raise typer.BadParameter(f"{text!r} is not HOST:PORT, such as 127.0.0.1:7082")
    return text


Operator = Annotated[
    str, typer.Argument(parser=_parse_operator, help="Operator port, as HOST:PORT.")
]
Operators = Annotated[
    list[str],
    typer.Argument(parser=_parse_operator, help="Operator ports, each as HOST:PORT."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print machine-readable JSON.")]


# ---------------------------------------------------------------------------
#   Daemon and settings
# ---------------------------------------------------------------------------


@app.command()
def daemon(
    settings: Annotated[pathlib.Path, typer.Argument(help="The settings file.")],
) -> None:
    """Run a daemon until SIGTERM."""
    try:
        status = process.run(settings)
    except errors.SettingsError as error:
        _fail(str(error), REJECTED)
    raise typer.Exit(status)


@app.command("settings-reference")
def settings_reference() -> None:
    """Print the settings reference, in Markdown."""
    typer.echo(reference.render(), nl=False)


# ---------------------------------------------------------------------------
#   Configuration folders
# ---------------------------------------------------------------------------


@app.command()
def check(folder: Folder, as_json: AsJson = False) -> None:
    """Validate a configuration folder as the daemons do.

    Prints the merged configuration of a valid folder, each value with the file
    that set it.
    """
    settings = _inspect(lambda: inspection.check(merging.read_folder(folder)))
    _show(as_json, settings, configuration_text.setting_lines(settings))


@app.command()
def diff(
    old: Annotated[pathlib.Path, typer.Argument(help="The old folder.")],
    new: Annotated[pathlib.Path, typer.Argument(help="The new folder.")],
    as_json: AsJson = False,
) -> None:
    """Show the differences between two configuration folders."""
    changes = _inspect(
        lambda: inspection.diff(merging.read_folder(old), merging.read_folder(new))
    )
    _show(as_json, changes, configuration_text.change_lines(changes) or ["no change"])


@app.command()
def explain(
    folder: Folder,
    path: Annotated[
        str, typer.Argument(help="A dotted path, such as services.dispatch.share.")
    ],
    as_json: AsJson = False,
) -> None:
    """Show how each file contributes to a value."""
    explanation = _inspect(
        lambda: inspection.explain(merging.read_folder(folder), path)
    )
    _show(as_json, explanation, configuration_text.explanation_lines(explanation))


# ---------------------------------------------------------------------------
#   Querying daemons
# ---------------------------------------------------------------------------


@app.command()
def dump(operator: Operator) -> None:
    """Print the state of a daemon as JSON."""
    try:
        state = json.loads(operator_client.fetch(operator, "/dump"))
    except (errors.OperatorPortError, *decoding.FAILURES) as error:
        _fail(str(error), UNREACHABLE)
    typer.echo(json.dumps(state, indent=2))


@app.command()
def trace(
    request_id: Annotated[
        str, typer.Argument(help="The Savoryhollow-Request-Id of a response.")
    ],
    operators: Operators,
    as_json: AsJson = False,
) -> None:
    """Show the attempts of one request, as recorded by the given daemons."""
    path = operator_client.trace_path(request_id)
    results = operator_client.fetch_all(operators, path, operator_client.TraceReply)
    request_trace = tracing.build_trace(request_id, results.replies)
    if request_trace.attempts or request_trace.refusals:
        _show(as_json, request_trace, tracing.trace_lines(request_trace))
    _report_failures(results)
    if not request_trace.attempts and not request_trace.refusals:
        message = (
            f"request {request_id} was not found; query the daemon that received it;"
            " newer requests replace its record, and a restart deletes it"
        )
        _fail(message, REJECTED)


@app.command()
def top(
    operators: Operators,
    once: Annotated[
        bool, typer.Option("--once", help="Print the totals since the start and exit.")
    ] = False,
    interval_s: Annotated[
        float, typer.Option("--interval", min=0.2, help="Seconds between two updates.")
    ] = 2.0,
    as_json: AsJson = False,
) -> None:
    """Show requests by service and rank, summed over the given daemons."""
    results = operator_client.fetch_all(operators, "/dump", operator_client.DumpReply)
    table = service_table.sum_rows(results.replies)
    if once or as_json:
        _show(as_json, table, service_table.table_lines(table))
        _report_failures(results)
        return
    try:
        _refresh_table(operators, table, interval_s)
    except KeyboardInterrupt:
        raise typer.Exit(0) from None


# ---------------------------------------------------------------------------
#   Output
# ---------------------------------------------------------------------------


def _refresh_table(
    operators: list[str], table: list[service_table.Row], interval_s: float
) -> typing.NoReturn:
    while True:
        time.sleep(interval_s)
        results = operator_client.fetch_all(
            operators, "/dump", operator_client.DumpReply
        )
        new_table = service_table.sum_rows(results.replies)
        text = "\n".join(
            service_table.table_lines(service_table.rows_between(table, new_table))
        )
        typer.echo(CLEAR + text)
        for failure in results.failures:
            typer.echo(str(failure), err=True)
        table = new_table


def _inspect(inspect: typing.Callable[[], typing.Any]) -> typing.Any:
    try:
        return inspect()
    except errors.ConfigurationError as error:
        _fail(str(error), REJECTED)


def _show(as_json: bool, value: typing.Any, lines: list[str]) -> None:
    if as_json:
        typer.echo(json.dumps(value, default=dataclasses.asdict, indent=2))
    else:
        typer.echo("\n".join(terminal.wrap(lines)))


def _report_failures(results: operator_client.FetchResults) -> None:
    if results.failures:
        _fail("\n".join(str(failure) for failure in results.failures), UNREACHABLE)


def _fail(message: str, status: int) -> typing.NoReturn:
    print(message, file=sys.stderr)
    raise typer.Exit(status)
