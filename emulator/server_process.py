"""Helpers of the emulated server processes: settings, responses and shutdown."""

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
    """Return the settings from the JSON file that the command line names.

    :param model: the ``msgspec.Struct`` type of the settings.
    :raises msgspec.ValidationError: if the file does not match the type.
    """
    text = pathlib.Path(sys.argv[1]).read_text()
    return msgspec.json.decode(text, type=model)


def make_json_response(value: typing.Any, status: int = 200) -> webserver.HttpResponse:
    """Return a response with a value encoded as JSON."""
    headers = (calls.Header("Content-Type", "application/json"),)
    return webserver.HttpResponse(status, headers, json.dumps(value).encode())


def apply_control_request(
    request: webserver.HttpRequest, current: typing.Any
) -> typing.Any:
    """Return a copy of a state with the fields of a control request replaced.

    :param request: a request whose body is a JSON object of fields.
    :param current: the current state, a ``msgspec.Struct``.
    """
    fields = msgspec.structs.asdict(current) | json.loads(request.body)
    return msgspec.convert(fields, type(current))


def serve_until_stopped(
    server: webserver.WebServer,
    before_stop: collections.abc.Callable[[], None] | None = None,
) -> None:
    """Serve until the process receives SIGTERM or SIGINT.

    :param server: a server that has not been started.
    :param before_stop: called once before the server stops.
    """
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    server.start()
    stop_requested.wait()
    if before_stop is not None:
        before_stop()
    server.stop()
