"""A stand-in for the platform's configuration service.

It publishes a folder of files under a rising revision and a list of instances.
Nothing can be written to it but through ``/control``, which stands for the
operators' own tools and for faults.
"""

import threading
import time
import urllib.parse

import msgspec

from emulator import server_process
from savoryhollow import webserver

# Threads; each open watch holds one.
THREADS = 128
# Limit of a control request, in bytes.
MAX_BODY_BYTES = 8 << 20


class PlatformSettings(msgspec.Struct):
    """What the stand-in is told when it starts.

    :param instances_by_region: the list as it is seen from each region.
    """

    host: str
    port: int
    files: dict[str, str]
    instances_by_region: dict[str, list[dict]]


class PlatformState(msgspec.Struct):
    """What operators and faults may change.

    :param revision: rises by one with each publication.
    :param list_revision: rises by one with each change of the list.
    :param down: answers nothing but 503.
    :param slow_ms: time by which every answer is late.
    """

    files: dict[str, str]
    instances_by_region: dict[str, list[dict]]
    revision: int = 1
    list_revision: int = 1
    down: bool = False
    slow_ms: int = 0


class Platform:
    """Answers readers and control requests."""

    def __init__(self, settings: PlatformSettings):
        self._state = PlatformState(settings.files, settings.instances_by_region)
        self._changed = threading.Condition()
        self._reads = 0

    def handle(self, request: webserver.HttpRequest) -> webserver.HttpResponse:
        """Answer one request."""
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/control":
            return self._control(request)
        if url.path == "/reads":
            return server_process.make_json_response({"reads": self._reads})
        with self._changed:
            self._reads += 1
        time.sleep(self._state.slow_ms / 1000)
        if self._state.down:
            return server_process.make_json_response({}, 503)
        if url.path == "/instances":
            return self._instances(query["region"], int(query.get("after", -1)))
        return self._configuration(query)

    def end_watches(self) -> None:
        """Let every open watch end."""
        with self._changed:
            self._state.revision += 1
            self._changed.notify_all()

    def _control(self, request: webserver.HttpRequest) -> webserver.HttpResponse:
        with self._changed:
            self._state = server_process.apply_control_request(request, self._state)
            self._changed.notify_all()
            return server_process.make_json_response({"revision": self._state.revision})

    def _instances(self, region: str, after: int) -> webserver.HttpResponse:
        state = self._state
        if state.list_revision == after:
            return server_process.make_json_response({}, 304)
        instances = state.instances_by_region[region]
        return server_process.make_json_response(
            {"revision": state.list_revision, "instances": instances}
        )

    def _configuration(self, query: dict[str, str]) -> webserver.HttpResponse:
        after = int(query.get("after", -1))
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            while self._state.revision == after and not self._state.down:
                if not self._changed.wait(deadline - time.monotonic()):
                    break
            state = self._state
        if state.revision == after:
            return server_process.make_json_response({}, 304)
        return server_process.make_json_response(
            {"revision": state.revision, "files": state.files}
        )


def main() -> None:
    """Run the stand-in until it is told to stop."""
    settings = server_process.read_settings(PlatformSettings)
    platform = Platform(settings)
    server = webserver.WebServer(
        settings.host, settings.port, THREADS, MAX_BODY_BYTES, platform.handle
    )
    server_process.serve_until_stopped(server, platform.end_watches)


if __name__ == "__main__":
    main()
