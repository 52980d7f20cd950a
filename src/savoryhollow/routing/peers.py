"""Connections to other daemons, one per daemon."""

import dataclasses
import itertools
import threading

from savoryhollow import errors
from savoryhollow.membership import table
from savoryhollow.wire import channel, messages, multiplexing

__all__ = ["PeerConnections"]


class PeerConnections:
    """Keeps one connection to each daemon and opens it on first use.

    :param hello: the hello message of this process.
    """

    def __init__(self, hello: messages.HelloMessage):
        self._hello = hello
        self._connection_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._locks_by_id: dict[str, threading.Lock] = {}
        self._connections_by_id: dict[str, multiplexing.MultiplexedConnection] = {}
        self._regions_by_id: dict[str, str] = {}
        self._closed_bytes_by_region: dict[str, int] = {}

    def open(self, endpoint: table.Endpoint) -> multiplexing.MultiplexedConnection:
        """Return the connection to the daemon of an endpoint.

        :param endpoint: the endpoint.
        :returns: an open connection to the daemon with this endpoint's id.
        :raises errors.WireError: if the connection can't be established.
        """
        connection = self._connections_by_id.get(endpoint.endpoint_id)
        if connection is not None and not connection.closed and not connection.leaving:
            return connection
        with self._lock:
            lock = self._locks_by_id.setdefault(endpoint.endpoint_id, threading.Lock())
        with lock:
            connection = self._connections_by_id.get(endpoint.endpoint_id)
            if connection is None or connection.closed or connection.leaving:
                if connection is not None:
                    self._remove_closed(endpoint.endpoint_id, connection)
                connection = self._connect(endpoint)
                self._regions_by_id[endpoint.endpoint_id] = endpoint.region
                self._connections_by_id[endpoint.endpoint_id] = connection
            return connection

    def bytes_by_region(self) -> dict[str, int]:
        """Return the bytes sent and received per region since the process started."""
        totals = dict(self._closed_bytes_by_region)
        for endpoint_id, connection in list(self._connections_by_id.items()):
            region = self._regions_by_id[endpoint_id]
            totals[region] = totals.get(region, 0) + connection.bytes_total
        return totals

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections_by_id.values()):
            connection.close()

    def _remove_closed(
        self, endpoint_id: str, connection: multiplexing.MultiplexedConnection
    ) -> None:
        del self._connections_by_id[endpoint_id]
        region = self._regions_by_id[endpoint_id]
        before = self._closed_bytes_by_region.get(region, 0)
        self._closed_bytes_by_region[region] = before + connection.bytes_total

    def _connect(self, endpoint: table.Endpoint) -> multiplexing.MultiplexedConnection:
        hello = dataclasses.replace(
            self._hello, connection=next(self._connection_numbers)
        )
        peer_channel, peer = channel.connect(endpoint.host, endpoint.port, hello)
        if peer.endpoint_id != endpoint.endpoint_id:
            peer_channel.close()
            text = (
                f"{peer.endpoint_id} answered at the address of {endpoint.endpoint_id}"
                "; retry after the next update of the instance list"
            )
            raise errors.ChannelClosedError(text)
        return multiplexing.MultiplexedConnection(peer_channel, hello, peer)
