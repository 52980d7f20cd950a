"""An emulated backend server.

It runs requests in a limited number of slots, each for a random time, and counts
the runs by the header ``X-Request-Id``, in which a daemon sends the attempt id, so
that tests can check the outcomes reported to callers.
"""

import collections
import random
import threading
import time

import msgspec

from emulator import server_process
from savoryhollow import calls, webserver

# Threads in addition to the slots, for control requests and waiting callers.
EXTRA_THREADS = 40
# Maximum size of a request body, in bytes.
MAX_BODY_BYTES = 2 << 20


class BackendSettings(msgspec.Struct):
    """The settings of the process.

    :param slots: the number of requests that can run at the same time.
    :param seed: the seed of the random run times and failures.
    :param service_ms: the mean run time of a request, in ms.
    """

    host: str
    port: int
    slots: int
    seed: int
    service_ms: float = 20.0


class BackendState(msgspec.Struct):
    """The state that a test can change.

    :param service_ms: the mean run time of a request, in ms.
    :param spread: the largest random deviation from it, as a share of it.
    :param noise_ms: additional run time caused by noisy neighbours, in ms.
    :param fail_share: the share of requests that fail immediately.
    :param draining: refuse all requests.
    :param answer_bytes: the minimum length of a response body, in bytes.
    """

    service_ms: float
    spread: float = 0.5
    noise_ms: float = 0.0
    fail_share: float = 0.0
    draining: bool = False
    answer_bytes: int = 500


class BackendServer:
    """Runs requests and counts the runs by request id."""

    def __init__(self, settings: BackendSettings):
        self._state = BackendState(settings.service_ms)
        self._slots = threading.Semaphore(settings.slots)
        self._rng = random.Random(settings.seed)
        self._lock = threading.Lock()
        self._runs_by_id: collections.Counter[str] = collections.Counter()
        self._busy = 0

    def handle(self, request: webserver.HttpRequest) -> webserver.HttpResponse:
        """Return the response to one request."""
        if request.path == "/control":
            self._state = server_process.apply_control_request(request, self._state)
            return server_process.make_json_response({})
        if request.path == "/records":
            with self._lock:
                return server_process.make_json_response(dict(self._runs_by_id))
        return self._run(request)

    def _run(self, request: webserver.HttpRequest) -> webserver.HttpResponse:
        state = self._state
        if state.draining:
            return server_process.make_json_response({"error": "draining"}, 503)
        request_id = _find_request_id(request)
        with self._slots:
            with self._lock:
                self._runs_by_id[request_id] += 1
                sample = self._rng.random()
                fails = self._rng.random() < state.fail_share
            if fails:
                return server_process.make_json_response({"error": "failed"}, 500)
            spread = 1 + state.spread * (2 * sample - 1)
            run_s = (state.service_ms * spread + state.noise_ms) / 1000
            if run_s > 0:
                time.sleep(run_s)
        body = request_id.encode().ljust(state.answer_bytes, b".")
        headers = (
            calls.Header("X-Run", request_id),
            calls.Header("X-Request-Id", request_id),
            *_echo_headers(request),
        )
        return webserver.HttpResponse(200, headers, body)


def _find_request_id(request: webserver.HttpRequest) -> str:
    for header in request.headers:
        if header.name.lower() == "x-request-id":
            return header.value
    return calls.new_request_id()


def _echo_headers(request: webserver.HttpRequest) -> tuple[calls.Header, ...]:
    return tuple(
        calls.Header("X-Seen-" + header.name.title(), header.value)
        for header in request.headers
        if header.name.lower().startswith("savoryhollow-")
    )


def main() -> None:
    """Run the backend server until the process receives SIGTERM or SIGINT."""
    settings = server_process.read_settings(BackendSettings)
    backend = BackendServer(settings)
    threads = settings.slots + EXTRA_THREADS
    server = webserver.WebServer(
        settings.host, settings.port, threads, MAX_BODY_BYTES, backend.handle
    )
    server_process.serve_until_stopped(server)


if __name__ == "__main__":
    main()
