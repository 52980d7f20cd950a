"""Read the platform's configuration service over HTTP."""

import msgspec
import urllib3

from savoryhollow import decoding, errors
from savoryhollow.membership import table

__all__ = ["Publication", "StoreClient"]

# Timeout of a read that doesn't wait for changes, in s.
READ_TIMEOUT_S = 2.0
# Time that the service waits for a change before it answers a watch, in s. A dead
# connection hides changes for this long, so the time has to be shorter than the time
# within which a new publication must be in force.
WATCH_WAIT_S = 2.0
# HTTP status if nothing has changed since the given revision.
NOT_MODIFIED = 304


class Publication(msgspec.Struct, frozen=True):
    """The published configuration files with their revision.

    :param revision: increases with each publication.
    :param files: the contents by file name.
    """

    revision: int
    files: dict[str, str]


class StoreClient:
    """Client for the published configuration and the list of instances.

    :param host: the IP address of the service.
    :param port: its port.
    :param region: the region for which the list gives addresses.
    """

    def __init__(self, host: str, port: int, region: str):
        self._pool = urllib3.HTTPConnectionPool(host, port, maxsize=2, retries=False)
        self._region = region
        self.reads = 0
        self.bytes_received = 0

    def watch(self, revision: int) -> Publication | None:
        """Wait at most :data:`WATCH_WAIT_S` for a change of the files.

        :param revision: the last revision received; -1 if there is none.
        :returns: the files, or None if they have not changed.
        :raises errors.StoreError: if there was no valid response.
        """
        path = f"/configuration?after={revision}&wait_ms={int(WATCH_WAIT_S * 1000)}"
        return self._read(path, Publication, WATCH_WAIT_S + READ_TIMEOUT_S)

    def read_instances(self, revision: int) -> table.InstanceList | None:
        """Return the list of live and leaving instances.

        :param revision: the last revision received; -1 if there is none.
        :returns: the list, or None if it has not changed.
        :raises errors.StoreError: if there was no valid response.
        """
        path = f"/instances?region={self._region}&after={revision}"
        return self._read(path, table.InstanceList, READ_TIMEOUT_S)

    def _read(self, path, model, timeout_s):
        self.reads += 1
        try:
            response = self._pool.request("GET", path, timeout=timeout_s)
            self.bytes_received += len(response.data)
            if response.status == NOT_MODIFIED:
                return None
            if response.status != 200:
                message = f"{path} returned {response.status}; check the store"
                raise errors.StoreError(message)
            return msgspec.json.decode(response.data, type=model)
        except (urllib3.exceptions.HTTPError, *decoding.FAILURES) as error:
            message = f"{path} returned no valid response: {error}; check the store"
            raise errors.StoreError(message) from error
