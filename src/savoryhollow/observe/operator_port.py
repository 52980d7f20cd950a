"""What a daemon serves to operators: its state, and the way of one request."""

import collections.abc
import json
import typing
import urllib.parse

from savoryhollow import calls, webserver

__all__ = ["make_handler"]

Route = collections.abc.Callable[[urllib.parse.SplitResult], typing.Any]


def make_handler(routes_by_path: dict[str, Route]) -> webserver.Handler:
    """Return the function that answers operators.

    :param routes_by_path: a function for each path; it gets the split address
        and returns a JSON value.
    :returns: a handler for a web server.
    """

    def handle(request: webserver.HttpRequest) -> webserver.HttpAnswer:
        address = urllib.parse.urlsplit(request.path)
        route = routes_by_path.get(address.path)
        if route is None:
            known = ", ".join(sorted(routes_by_path))
            return _answer(404, {"remedy": f"unknown path; known are {known}"})
        return _answer(200, route(address))

    return handle


def _answer(status: int, value: typing.Any) -> webserver.HttpAnswer:
    headers = (calls.Header("Content-Type", "application/json"),)
    return webserver.HttpAnswer(status, headers, json.dumps(value).encode())
