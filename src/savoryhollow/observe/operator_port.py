"""What a daemon serves to operators: its state, and the way of one request."""

import collections.abc
import dataclasses
import json
import typing
import urllib.parse

from savoryhollow import calls, webserver

__all__ = ["TextResponse", "make_handler"]

JSON_TYPE = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class TextResponse:
    """An answer that is not JSON."""

    content_type: str
    body: bytes


Route = collections.abc.Callable[[urllib.parse.SplitResult], typing.Any]


def make_handler(routes_by_path: dict[str, Route]) -> webserver.Handler:
    """Return the function that answers operators.

    :param routes_by_path: a function for each path; it gets the split address
        and returns a JSON value or a :class:`TextResponse`.
    :returns: a handler for a web server.
    """

    def handle(request: webserver.HttpRequest) -> webserver.HttpResponse:
        address = urllib.parse.urlsplit(request.path)
        route = routes_by_path.get(address.path)
        if route is None:
            known = ", ".join(sorted(routes_by_path))
            return _make_response(404, {"remedy": f"unknown path; known are {known}"})
        if request.method != "GET":
            return _make_response(
                405, {"remedy": "nothing can be changed here; use GET"}
            )
        return _make_response(200, route(address))

    return handle


def _make_response(status: int, value: typing.Any) -> webserver.HttpResponse:
    text = value
    if not isinstance(value, TextResponse):
        text = TextResponse(JSON_TYPE, json.dumps(value).encode())
    headers = (calls.Header("Content-Type", text.content_type),)
    return webserver.HttpResponse(status, headers, text.body)
