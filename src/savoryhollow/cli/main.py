"""The ``savoryhollow`` command."""

import json
import pathlib
import sys
from typing import Annotated

import typer
import urllib3

from savoryhollow import errors
from savoryhollow.configuration import acceptance, merging
from savoryhollow.daemon import process

__all__ = ["app"]

# Exit statuses.
REJECTED = 1
UNREACHABLE = 3
# Limit of one question to a daemon, in s.
ASK_LIMIT_S = 5.0

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A load balancer for servers whose load shifts in milliseconds.",
)

Folder = Annotated[pathlib.Path, typer.Argument(help="A folder of JSON files.")]
Operator = Annotated[str, typer.Argument(help="Operator port, as HOST:PORT.")]


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


@app.command()
def check(folder: Folder) -> None:
    """Accept or reject a configuration folder, as every daemon would."""
    try:
        texts = merging.read_folder(folder)
        acceptance.accept(texts)
    except errors.ConfigurationError as error:
        _fail(str(error), REJECTED)
    merged = merging.merge(texts)
    typer.echo(json.dumps(merged.document, indent=2, sort_keys=True))


@app.command()
def dump(operator: Operator) -> None:
    """Print the state of a daemon."""
    typer.echo(json.dumps(_ask(operator, "/dump"), indent=2))


def _ask(operator: str, path: str):
    url = f"http://{operator}{path}"
    try:
        response = urllib3.request("GET", url, timeout=ASK_LIMIT_S, retries=False)
        return response.json()
    except urllib3.exceptions.HTTPError as error:
        _fail(f"{url}: {error}; check the operator port", UNREACHABLE)


def _fail(text: str, status: int) -> None:
    print(text, file=sys.stderr)
    raise typer.Exit(status)
