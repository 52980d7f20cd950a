"""The HTTP header names and paths that a platform uses."""

import dataclasses

__all__ = ["Dialect"]


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """The header names of a platform, and the path of its readiness check.

    All parameters but the last are names of HTTP headers.

    :param request_id: identifies a caller's attempt; responses echo it.
    :param deadline_ms: the time left until the response is due, in ms.
    :param signature: proves that a response comes from the backend server.
    :param expected_endpoint: the only endpoint that may run the request.
    :param endpoint_id: the endpoint that sent the response.
    :param load: the load of the backend server that sent the response.
    :param not_executed: present if the request was not run.
    :param caller_service: the service of the instance where the request entered.
    :param readiness_path: the path where the platform checks whether the daemon is
        ready for callers.
    """

    request_id: str
    deadline_ms: str
    signature: str
    expected_endpoint: str
    endpoint_id: str
    load: str
    not_executed: str
    caller_service: str
    readiness_path: str

    @property
    def header_names(self) -> tuple[str, ...]:
        """The names of all headers.

        Both ends of a link must know the same ones, as packed messages refer to them.
        """
        return (
            self.expected_endpoint,
            self.endpoint_id,
            self.load,
            self.not_executed,
            self.signature,
            self.deadline_ms,
            self.caller_service,
            self.request_id,
        )
