"""The exception tree of savoryhollow.

Every error that the project raises descends from :class:`SavoryhollowError`,
and its message ends with what the reader can do about it.
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
    """The root of every error raised by the project."""


# ---------------------------------------------------------------------------
#   What operators write
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault found in a document.

    :param source: the file in which the fault stands.
    :param path: the dotted path of the value inside the merged document.
    :param value: the value as it was written, in JSON.
    :param remedy: what to write instead.
    """

    source: str
    path: str
    value: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.source}: {self.path} = {self.value}: {self.remedy}"


class _ProblemsError(SavoryhollowError):
    """A document was rejected; every fault found in it is reported at once."""

    def __init__(self, problems: list[Problem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class SettingsError(_ProblemsError):
    """The settings of a process were rejected."""


class ConfigurationError(_ProblemsError):
    """A configuration folder or a published revision was rejected."""


# ---------------------------------------------------------------------------
#   What callers send
# ---------------------------------------------------------------------------


class BadRequestError(SavoryhollowError):
    """A caller's request can't be understood; nothing was done for it."""


# ---------------------------------------------------------------------------
#   What other processes send
# ---------------------------------------------------------------------------


class WireError(SavoryhollowError):
    """The inner protocol failed on one connection."""


class MalformedMessageError(WireError):
    """A peer sent a message that doesn't match its declared type."""


class VersionMismatchError(WireError):
    """A peer speaks another version of the inner protocol."""


class ChannelClosedError(WireError):
    """The connection ended; requests open on it have to be resolved."""


class PeerUnreachableError(WireError):
    """There is no connection to a peer; the request was never sent."""


class ChannelSilentError(ChannelClosedError):
    """The connection stopped answering pings though it was never closed."""


class BackendError(SavoryhollowError):
    """The backend server gave no whole answer.

    :param started: whether the backend server may have begun the request.
    :param response_started: whether any byte of an answer came.
    """

    def __init__(self, message: str, *, started: bool, response_started: bool = False):
        super().__init__(message)
        self.started = started
        self.response_started = response_started


class StoreError(SavoryhollowError):
    """The platform's configuration service gave no usable answer."""


class OperatorPortError(SavoryhollowError):
    """A daemon gave no whole answer on its operator port."""
