"""The names by which callers and backend servers of a platform are spoken to."""

import dataclasses

__all__ = ["Dialect"]


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Names of headers, and the address of the readiness check.

    :param request_id: names the attempt of a caller; answers echo it.
    :param deadline_ms: time that is left for an answer, in ms.
    :param signature: proves that an answer is the backend server's.
    :param expected_endpoint: the endpoint that alone may run the request.
    :param endpoint_id: the endpoint that answers.
    :param load: the load of the backend server that answers.
    :param not_executed: says that the request was not run.
    :param caller_service: the service of the instance where the request began.
    :param readiness_path: where the platform asks whether to send callers.
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
