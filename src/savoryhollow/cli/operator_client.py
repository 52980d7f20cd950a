"""Query the operator ports of daemons."""

import collections.abc
import concurrent.futures
import dataclasses
import typing
import urllib.parse

import msgspec
import urllib3

from savoryhollow import decoding, errors
from savoryhollow.observe import placements, requests, runs
from savoryhollow.wire import messages

__all__ = [
    "DumpReply",
    "FetchResults",
    "TraceReply",
    "fetch",
    "fetch_all",
    "trace_path",
]

# Timeout of connecting to a daemon and of each read from it, in s.
FETCH_TIMEOUT_S = 5.0
# Daemons that are queried at the same time.
MAX_CONCURRENT_FETCHES = 16


class TraceReply(msgspec.Struct, frozen=True):
    """The records that one daemon has of a request."""

    endpoint_id: str
    placement: str
    placements: list[placements.PlacementRecord]
    runs: list[runs.RunRecord]
    refusals: list[requests.RefusalRecord]


class DumpReply(msgspec.Struct, frozen=True):
    """The part of a daemon's dump that the ``top`` command shows."""

    endpoint_id: str
    configuration_revision: int
    load: messages.LoadReport
    requests: list[requests.RequestTotal]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchResults:
    """The results of querying several daemons.

    :param replies: the decoded replies, in the order of the queried daemons.
    :param failures: an error for each daemon that gave no valid reply.
    """

    replies: list[typing.Any]
    failures: list[errors.OperatorPortError]


def fetch(operator: str, path: str) -> bytes:
    """Send a GET request to a daemon's operator port.

    :param operator: the operator port, as HOST:PORT.
    :param path: the path with its query.
    :returns: the body of the response.
    :raises errors.OperatorPortError: if there is no complete response with status
        200, or connecting or a read takes longer than 5 s.
    """
    url = f"http://{operator}{path}"
    try:
        response = urllib3.request("GET", url, timeout=FETCH_TIMEOUT_S, retries=False)
    except (urllib3.exceptions.HTTPError, UnicodeError) as error:
        message = f"{url}: {error}; check HOST:PORT and that the daemon is running"
        raise errors.OperatorPortError(message) from error
    if response.status != 200:
        message = f"{url}: status {response.status}; check that it is an operator port"
        raise errors.OperatorPortError(message)
    return response.data


def fetch_all(
    operators: collections.abc.Sequence[str], path: str, model: type
) -> FetchResults:
    """Query several daemons concurrently.

    :param operators: their operator ports, as HOST:PORT.
    :param path: the path with its query.
    :param model: the type to decode each reply into.
    """

    def fetch_one(operator: str) -> typing.Any:
        try:
            return msgspec.json.decode(fetch(operator, path), type=model)
        except errors.OperatorPortError as error:
            return error
        except decoding.FAILURES as error:
            message = f"{operator}: {error}; use the daemon's version of savoryhollow"
            return errors.OperatorPortError(message)

    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_FETCHES) as pool:
        results = list(pool.map(fetch_one, operators))
    failures = [r for r in results if isinstance(r, errors.OperatorPortError)]
    return FetchResults([r for r in results if isinstance(r, model)], failures)


def trace_path(request_id: str) -> str:
    """Return the operator port path that traces one request."""
    return f"/trace?id={urllib.parse.quote(request_id, safe='')}"
