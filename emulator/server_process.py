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

__all__ = [
    "apply_control_request",
    "make_json_response",
    "read_settings",
    "serve_until_stopped",
]


def read_settings(model: type) -> typing.Any:
    """Return the settings named on the command line.

    :param model: the ``msgspec.Struct`` that they must match.
    """
    text = pathlib.Path(sys.argv[1]).read_text()
    return msgspec.json.decode(text, type=model)


def make_json_response(value: typing.Any, status: int = 200) -> webserver.HttpResponse:
    """Return a JSON answer."""
    headers = (calls.Header("Content-Type", "application/json"),)
    return webserver.HttpResponse(status, headers, json.dumps(value).encode())


def apply_control_request(
    request: webserver.HttpRequest, current: typing.Any
) -> typing.Any:
    """Return a model with the fields that a control request names replaced.

    :param request: its body is a JSON object of fields.
    :param current: the model as it is.
    """
    fields = msgspec.structs.asdict(current) | json.loads(request.body)
    return msgspec.convert(fields, type(current))


def serve_until_stopped(
    server: webserver.WebServer,
    before_stop: collections.abc.Callable[[], None] | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT.

    :param server: a server that has not been started.
    :param tidy: called before the server stops.
    """
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    server.start()
    stop_requested.wait()
    if before_stop is not None:
        before_stop()
    server.stop()
