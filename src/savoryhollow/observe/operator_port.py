"""Serve a daemon's state and the traces of requests to operators over HTTP."""

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
    """A response that is not JSON."""

    content_type: str
    body: bytes


Route = collections.abc.Callable[[urllib.parse.SplitResult], typing.Any]


def make_handler(routes_by_path: dict[str, Route]) -> webserver.Handler:
    """Return a function that handles the requests of operators.

    :param routes_by_path: a function for each path. It is called with the split
        URL and returns a JSON value or a :class:`TextResponse`.
    :returns: a handler for a web server.
    """

    def handle(request: webserver.HttpRequest) -> webserver.HttpResponse:
        url = urllib.parse.urlsplit(request.path)
        route = routes_by_path.get(url.path)
        if route is None:
            paths = ", ".join(sorted(routes_by_path))
            return _make_response(404, {"remedy": f"unknown path; use one of {paths}"})
        if request.method != "GET":
            return _make_response(405, {"remedy": "this port is read-only; use GET"})
        return _make_response(200, route(url))

    return handle


def _make_response(status: int, value: typing.Any) -> webserver.HttpResponse:
    response = value
    if not isinstance(value, TextResponse):
        response = TextResponse(JSON_TYPE, json.dumps(value).encode())
    headers = (calls.Header("Content-Type", response.content_type),)
    return webserver.HttpResponse(status, headers, response.body)
