"""Ask daemons over their operator ports."""

import collections.abc
import concurrent.futures
import dataclasses
import typing
import urllib.parse

import msgspec
import urllib3

from savoryhollow import errors
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

# Limit of one question to a daemon, in s.
FETCH_TIMEOUT_S = 5.0
# Daemons asked at one time.
MAX_CONCURRENT_FETCHES = 16


class TraceReply(msgspec.Struct, frozen=True):
    """What one daemon knows of a request."""

    endpoint_id: str
    placement: str
    placements: list[placements.PlacementRecord]
    runs: list[runs.RunRecord]
    refusals: list[requests.RefusalRecord]


class DumpReply(msgspec.Struct, frozen=True):
    """The part of a dump that the live table shows."""

    endpoint_id: str
    configuration_revision: int
    load: messages.LoadReport
    requests: list[requests.RequestTotal]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchResults:
    """The answers of several daemons.

    :param replies: the answers that came, in the order of the daemons asked.
    :param failures: what went wrong with each of the others.
    """

    replies: list[typing.Any]
    failures: list[errors.OperatorPortError]


def fetch(operator: str, path: str) -> bytes:
    """Return the answer of a daemon's operator port.

    :param operator: the operator port, as HOST:PORT.
    :param path: the path with its query.
    :returns: the body of the answer.
    :raises errors.OperatorPortError: where no whole answer came in 5 s.
    """
    url = f"http://{operator}{path}"
    try:
        response = urllib3.request("GET", url, timeout=FETCH_TIMEOUT_S, retries=False)
    except (urllib3.exceptions.HTTPError, UnicodeError) as error:
        text = f"{url}: {error}; check HOST:PORT and that the daemon runs"
        raise errors.OperatorPortError(text) from error
    if response.status != 200:
        text = f"{url} answered {response.status}; check that it is an operator port"
        raise errors.OperatorPortError(text)
    return response.data


def fetch_all(
    operators: collections.abc.Sequence[str], path: str, model: type
) -> FetchResults:
    """Ask several daemons at the same time.

    :param operators: their operator ports, as HOST:PORT.
    :param path: the path with its query.
    :param model: the type of the answers.
    """

    def fetch_one(operator: str) -> typing.Any:
        try:
            return msgspec.json.decode(fetch(operator, path), type=model)
        except errors.OperatorPortError as error:
            return error
        except msgspec.MsgspecError as error:
            text = f"{operator}: {error}; run the same version of savoryhollow"
            return errors.OperatorPortError(text)

    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_FETCHES) as pool:
        answers = list(pool.map(fetch_one, operators))
    failures = [a for a in answers if isinstance(a, errors.OperatorPortError)]
    return FetchResults([a for a in answers if isinstance(a, model)], failures)


def trace_path(request_id: str) -> str:
    """Return the path that asks for one request."""
    return f"/trace?id={urllib.parse.quote(request_id, safe='')}"
