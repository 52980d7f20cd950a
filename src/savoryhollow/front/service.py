"""Handle requests from callers: parse them, route them and build the responses."""

import collections.abc
import time

from savoryhollow import calls, errors, webserver
from savoryhollow.configuration import models
from savoryhollow.front import parsing, responses

__all__ = ["make_handler"]

Route = collections.abc.Callable[[calls.Call], calls.Outcome]
Redeem = collections.abc.Callable[[calls.Call, calls.Ticket], calls.Outcome]


def make_handler(
    configuration: collections.abc.Callable[[], models.Configuration],
    route: Route,
    redeem: Redeem,
) -> webserver.Handler:
    """Return the handler for requests from callers.

    :param configuration: returns the configuration in force.
    :param route: routes a call to an endpoint and returns its outcome.
    :param redeem: returns the outcome of the earlier attempt that a ticket names.
    :returns: a handler for :class:`savoryhollow.webserver.WebServer`.
    """

    def handle(request: webserver.HttpRequest) -> webserver.HttpResponse:
        try:
            parsed = parsing.parse(request, configuration(), time.monotonic())
        except errors.BadRequestError as error:
            return responses.make_bad_request_response(error)
        if parsed.ticket is not None:
            return responses.make_response(redeem(parsed.call, parsed.ticket))
        return responses.make_response(route(parsed.call))

    return handle
