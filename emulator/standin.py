"""What every stand-in process shares: its settings and its life."""

import collections.abc
import json
import pathlib
import signal
import sys
import threading
import typing

import msgspec

from savoryhollow import calls, webserver

__all__ = ["answer_json", "control_from", "read_settings", "serve_until_told"]


def read_settings(model: type) -> typing.Any:
    """Return the settings named on the command line.

    :param model: the ``msgspec.Struct`` that they must match.
    """
    text = pathlib.Path(sys.argv[1]).read_text()
    return msgspec.json.decode(text, type=model)


def answer_json(value: typing.Any, status: int = 200) -> webserver.HttpResponse:
    """Return a JSON answer."""
    headers = (calls.Header("Content-Type", "application/json"),)
    return webserver.HttpResponse(status, headers, json.dumps(value).encode())


def control_from(request: webserver.HttpRequest, current: typing.Any) -> typing.Any:
    """Return a model with the fields that a control request names replaced.

    :param request: its body is a JSON object of fields.
    :param current: the model as it is.
    """
    changed = msgspec.structs.asdict(current) | json.loads(request.body)
    return msgspec.convert(changed, type(current))


def serve_until_told(
    server: webserver.WebServer, tidy: collections.abc.Callable[[], None] | None = None
) -> None:
    """Serve until SIGTERM or SIGINT.

    :param server: a server that has not been started.
    :param tidy: called before the server stops.
    """
    told = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: told.set())
    server.start()
    told.wait()
    if tidy is not None:
        tidy()
    server.stop()
