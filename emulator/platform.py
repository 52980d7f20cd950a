"""An emulation of the platform's configuration service.

It publishes a folder of configuration files under an increasing revision and a
list of instances. ``/control`` is the only way to change its state; it emulates
the operators' tools and injects faults.
"""

import threading
import time
import urllib.parse

import msgspec

from emulator import server_process
from savoryhollow import webserver

# Number of threads; each open watch occupies one.
THREADS = 128
# Maximum size of a control request, in bytes.
MAX_BODY_BYTES = 8 << 20


class PlatformSettings(msgspec.Struct):
    """The settings of the process.

    :param files: the text of each configuration file by name.
    :param instances_by_region: the instance list that each region gets.
    """

    host: str
    port: int
    files: dict[str, str]
    instances_by_region: dict[str, list[dict]]


class PlatformState(msgspec.Struct):
    """The state that a control request can change.

    :param files: the text of each configuration file by name.
    :param instances_by_region: the instance list that each region gets.
    :param revision: the revision of the files; one higher at each publication.
    :param list_revision: the revision of the list; one higher at each change.
    :param down: respond to every read with status 503.
    :param slow_ms: the delay of every read, in ms.
    """

    files: dict[str, str]
    instances_by_region: dict[str, list[dict]]
    revision: int = 1
    list_revision: int = 1
    down: bool = False
    slow_ms: int = 0


class Platform:
    """Handles reads and control requests."""

    def __init__(self, settings: PlatformSettings):
        self._state = PlatformState(settings.files, settings.instances_by_region)
        self._changed = threading.Condition()
        self._reads = 0

    def handle(self, request: webserver.HttpRequest) -> webserver.HttpResponse:
        """Return the response to one request."""
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
            return self._make_instances_response(
                query["region"], int(query.get("after", -1))
            )
        return self._make_configuration_response(query)

    def end_watches(self) -> None:
        """End all open watches."""
        with self._changed:
            self._state.revision += 1
            self._changed.notify_all()

    def _control(self, request: webserver.HttpRequest) -> webserver.HttpResponse:
        with self._changed:
            self._state = server_process.apply_control_request(request, self._state)
            self._changed.notify_all()
            return server_process.make_json_response({"revision": self._state.revision})

    def _make_instances_response(
        self, region: str, after: int
    ) -> webserver.HttpResponse:
        state = self._state
        if state.list_revision == after:
            return server_process.make_json_response({}, 304)
        instances = state.instances_by_region[region]
        return server_process.make_json_response(
            {"revision": state.list_revision, "instances": instances}
        )

    def _make_configuration_response(
        self, query: dict[str, str]
    ) -> webserver.HttpResponse:
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
    """Run the platform until the process receives SIGTERM or SIGINT."""
    settings = server_process.read_settings(PlatformSettings)
    platform = Platform(settings)
    server = webserver.WebServer(
        settings.host, settings.port, THREADS, MAX_BODY_BYTES, platform.handle
    )
    server_process.serve_until_stopped(server, platform.end_watches)


if __name__ == "__main__":
    main()
