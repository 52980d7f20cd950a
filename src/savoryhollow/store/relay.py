"""Synchronize documents between neighbouring daemons.

After each update of a document this daemon compares documents with all of its
neighbours at once. In addition it compares with one neighbour at an interval,
in rotation, to recover updates that were missed. Both use the same exchange, in
which each side sends the deltas that the other side needs.
"""

import collections.abc
import dataclasses
import random
import threading
import time

from savoryhollow import errors
from savoryhollow.membership import table
from savoryhollow.store import publications as publications_module
from savoryhollow.store import trust as trust_module
from savoryhollow.wire import channel as channel_module
from savoryhollow.wire import messages

__all__ = ["Link", "Relay", "choose_links"]

# Mean interval between comparisons, in s.
COMPARE_INTERVAL_S = 1.0
# Timeout for an answer from a neighbour, in s.
ANSWER_TIMEOUT_S = 1.0
# Backoff after the first failure of a neighbour, doubled by each further one up to
# the maximum, in s.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0

Neighbours = collections.abc.Callable[[], tuple[table.Endpoint, ...]]


@dataclasses.dataclass(slots=True)
class Link:
    """The connection to one neighbour.

    :param failures: the number of failures since the last success.
    :param retry_at: the time before which the neighbour is not contacted.
    """

    endpoint: table.Endpoint
    channel: channel_module.Channel | None = None
    failures: int = 0
    retry_at: float = 0.0


def choose_links(
    links: list[Link], all_links: bool, round_number: int, now: float
) -> list[Link]:
    """Return the links to use in a round of comparisons, in order.

    Connected links come first, so that an update isn't delayed by connecting to a
    neighbour that is down.

    :param links: the links to all neighbours.
    :param all_links: True to use all links, False to use one in rotation.
    :param round_number: the number of the round, for the rotation.
    :param now: the current time.
    """
    ready = [link for link in links if link.retry_at <= now]
    if ready and not all_links:
        ready = [ready[round_number % len(ready)]]
    return sorted(ready, key=lambda link: link.channel is None)


class Relay:
    """Compares documents with the neighbours in a background thread.

    :param publications: the current documents.
    :param trust: records that peers were compared with.
    :param hello: the hello message of this process.
    :param neighbours: returns the current neighbours.
    """

    def __init__(
        self,
        publications: publications_module.Publications,
        trust: trust_module.StoreTrust,
        hello: messages.HelloMessage,
        neighbours: Neighbours,
    ):
        self._publications = publications
        self._trust = trust
        self._hello = hello
        self._neighbours = neighbours
        self._links_by_id: dict[str, Link] = {}
        self._changed = threading.Event()
        self._stopping = False
        self._round_number = 0
        self._rng = random.Random()
        self._closed_bytes = 0
        self.last_answer_at = time.monotonic()
        publications.add_listener(self._changed.set)

    @property
    def bytes_total(self) -> int:
        """Bytes sent and received on connections opened by this relay."""
        open_channels = [
            link.channel for link in list(self._links_by_id.values()) if link.channel
        ]
        return self._closed_bytes + sum(
            channel.bytes_sent + channel.bytes_received for channel in open_channels
        )

    def start(self) -> None:
        """Start the background thread."""
        threading.Thread(target=self._run, name="relay", daemon=True).start()

    def stop(self) -> None:
        """Tell the background thread to stop and close its connections."""
        self._stopping = True
        self._changed.set()

    # -----------------------------------------------------------------------
    #   Rounds
    # -----------------------------------------------------------------------

    def _run(self) -> None:
        while not self._stopping:
            changed = self._changed.wait(self._interval_s())
            self._changed.clear()
            self._trust.record_activity(time.monotonic())
            self._update_links()
            self._run_round(all_links=changed or not self._trust.has_compared)
        for link in self._links_by_id.values():
            self._close(link)

    def _interval_s(self) -> float:
        if not self._trust.is_trusted(time.monotonic()):
            return COMPARE_INTERVAL_S / 10
        return COMPARE_INTERVAL_S * self._rng.uniform(0.75, 1.25)

    def _run_round(self, all_links: bool) -> None:
        self._round_number += 1
        links = list(self._links_by_id.values())
        chosen = choose_links(links, all_links, self._round_number, time.monotonic())
        answers = [self._try_reconcile(link) for link in chosen]
        now = time.monotonic()
        if any(answers):
            self.last_answer_at = now
            self._trust.record_comparison(now)

    def _update_links(self) -> None:
        neighbours_by_id = {e.endpoint_id: e for e in self._neighbours()}
        for endpoint_id, link in list(self._links_by_id.items()):
            if neighbours_by_id.get(endpoint_id) != link.endpoint:
                self._close(link)
                del self._links_by_id[endpoint_id]
        for endpoint_id, endpoint in neighbours_by_id.items():
            self._links_by_id.setdefault(endpoint_id, Link(endpoint))

    # -----------------------------------------------------------------------
    #   One neighbour
    # -----------------------------------------------------------------------

    def _try_reconcile(self, link: Link) -> bool:
        try:
            self._reconcile(link)
        except errors.WireError:
            self._close(link)
            backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**link.failures)
            link.failures += 1
            link.retry_at = time.monotonic() + backoff_s * self._rng.uniform(0.5, 1)
            return False
        link.failures = 0
        return True

    def _reconcile(self, link: Link) -> None:
        if link.channel is None:
            link.channel = self._connect(link.endpoint)
        channel = link.channel
        channel.send(messages.CompareMessage(self._publications.versions()))
        answer = _expect(channel, messages.RelayMessage)
        self._publications.apply(answer)
        update = self._publications.compare(answer.versions)
        if update.deltas:
            channel.send(update)
            _expect(channel, messages.CompareMessage)

    def _connect(self, endpoint: table.Endpoint) -> channel_module.Channel:
        channel, peer = channel_module.connect(
            endpoint.host, endpoint.port, self._hello
        )
        if peer.endpoint_id != endpoint.endpoint_id:
            channel.close()
            message = (
                f"{peer.endpoint_id} answered at the address of "
                f"{endpoint.endpoint_id}; wait until the list of instances is updated"
            )
            raise errors.ChannelClosedError(message)
        return channel

    def _close(self, link: Link) -> None:
        if link.channel is not None:
            channel, link.channel = link.channel, None
            self._closed_bytes += channel.bytes_sent + channel.bytes_received
            channel.close()


def _expect(channel: channel_module.Channel, cls: type) -> messages.Message:
    answer = channel.receive(time.monotonic() + ANSWER_TIMEOUT_S)
    if not isinstance(answer, cls):
        message = (
            f"{type(answer).__name__} is an unexpected answer; run matching versions"
        )
        raise errors.MalformedMessageError(message)
    return answer
