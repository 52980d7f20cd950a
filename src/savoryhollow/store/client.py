"""Read the platform's configuration service over HTTP."""

import msgspec
import urllib3

from savoryhollow import errors
from savoryhollow.membership import table

__all__ = ["Publication", "StoreClient"]

# Limit of one ordinary read, in s.
READ_TIMEOUT_S = 2.0
# How long a watch is left open, in s. A connection that has gone silent hides
# the store for this time, so it stays below the time for news to be in force.
WATCH_WAIT_S = 2.0
# The status that says that nothing has changed.
NOT_MODIFIED = 304


class Publication(msgspec.Struct, frozen=True):
    """The published files with their revision.

    :param revision: rises with each publication.
    :param files: the texts by file name.
    """

    revision: int
    files: dict[str, str]


class StoreClient:
    """Reads publications and the list of instances.

    :param host: the IP number of the service.
    :param port: its port.
    :param region: the region whose addresses are wanted in the list.
    """

    def __init__(self, host: str, port: int, region: str):
        self._pool = urllib3.HTTPConnectionPool(host, port, maxsize=2, retries=False)
        self._region = region
        self.reads = 0
        self.bytes_received = 0

    def watch(self, revision: int) -> Publication | None:
        """Wait until the files differ from a revision, or a while.

        :param revision: the revision that the service told last; -1 for none.
        :returns: the files, or None where they have not changed.
        :raises errors.StoreError: where no valid answer came.
        """
        path = f"/configuration?after={revision}&wait_ms={int(WATCH_WAIT_S * 1000)}"
        return self._read(path, Publication, WATCH_WAIT_S + READ_TIMEOUT_S)

    def read_instances(self, revision: int) -> table.InstanceList | None:
        """Return the list of live and leaving instances.

        :param revision: the revision that the service told last; -1 for none.
        :returns: the list, or None where it has not changed.
        :raises errors.StoreError: where no valid answer came.
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
                message = f"{path} answered {response.status}; wait for the platform"
                raise errors.StoreError(message)
            return msgspec.json.decode(response.data, type=model)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            message = f"{path} gave no valid answer: {error}; wait for the platform"
            raise errors.StoreError(message) from error
