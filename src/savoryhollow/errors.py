"""Exceptions raised by savoryhollow.

Every exception is a subclass of :class:`SavoryhollowError`, and its message ends
with what the reader can do about the problem.
"""

import dataclasses

__all__ = [
    "BackendError",
    "BadRequestError",
    "ChannelClosedError",
    "ChannelSilentError",
    "ConfigurationError",
    "MalformedMessageError",
    "OperatorPortError",
    "PeerUnreachableError",
    "Problem",
    "SavoryhollowError",
    "SettingsError",
    "StoreError",
    "VersionMismatchError",
    "WireError",
]


class SavoryhollowError(Exception):
    """Base class of all exceptions of the project."""


# ---------------------------------------------------------------------------
#   Documents written by operators
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem found in a document.

    :param source: the file that contains the problem.
    :param path: the dotted path of the value in the merged document.
    :param value: the value as written, in JSON.
    :param remedy: how to fix the problem, such as what to write instead.
    """

    source: str
    path: str
    value: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.source}: {self.path} = {self.value}: {self.remedy}"


class _ProblemsError(SavoryhollowError):
    """A document was rejected; all problems found in it are reported together.

    :param problems: the problems, also available as an attribute.
    """

    def __init__(self, problems: list[Problem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class SettingsError(_ProblemsError):
    """The settings of a process are invalid."""


class ConfigurationError(_ProblemsError):
    """A configuration folder or a published revision is invalid."""


# ---------------------------------------------------------------------------
#   Requests from callers
# ---------------------------------------------------------------------------


class BadRequestError(SavoryhollowError):
    """A caller's request is malformed and was not processed."""


# ---------------------------------------------------------------------------
#   Communication with other processes
# ---------------------------------------------------------------------------


class WireError(SavoryhollowError):
    """The inner protocol failed on one connection."""


class MalformedMessageError(WireError):
    """A peer sent a message that doesn't match its declared type."""


class VersionMismatchError(WireError):
    """A peer uses another version of the inner protocol."""


class ChannelClosedError(WireError):
    """The connection is closed; its open requests have to be resolved."""


class PeerUnreachableError(WireError):
    """No connection to a peer could be used; the request was not sent."""


class ChannelSilentError(ChannelClosedError):
    """The peer gave no answer in time although the connection wasn't closed."""


class BackendError(SavoryhollowError):
    """The backend server gave no complete response.

    :param message: what happened and what the reader can do.
    :param started: whether the backend server may have started the request.
    :param response_started: whether any byte of a response was received.
    """

    def __init__(self, message: str, *, started: bool, response_started: bool = False):
        super().__init__(message)
        self.started = started
        self.response_started = response_started


class StoreError(SavoryhollowError):
    """The platform's configuration service gave no usable response."""


class OperatorPortError(SavoryhollowError):
    """A daemon gave no complete response on its operator port."""
