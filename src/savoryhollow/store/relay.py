"""Pass documents on between daemons, and compare to repair what was missed.

Whatever is put in force here is offered to every neighbour at once; apart from
that one neighbour in turn is compared with at an interval. Both are the same
exchange, in which each side hands over what the other lacks.
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

# Mean time between two comparisons, in s.
COMPARE_INTERVAL_S = 1.0
# Limit of one answer of a neighbour, in s.
ANSWER_LIMIT_S = 1.0
# Pause after the first failure of a neighbour, doubled by each further one, in s.
RETRY_S = 0.5
MAX_RETRY_S = 8.0

Neighbours = collections.abc.Callable[[], tuple[table.Endpoint, ...]]


@dataclasses.dataclass(slots=True)
class Link:
    """The connection to one neighbour.

    :param retry_at: the instant before which it is left alone.
    """

    endpoint: table.Endpoint
    channel: channel_module.Channel | None = None
    failures: int = 0
    retry_at: float = 0.0


def choose_links(
    links: list[Link], everyone: bool, turn: int, now: float
) -> list[Link]:
    """Return the links to compare over, in their order.

    Those that are connected come first, so that news never waits behind a
    neighbour that is dead and not yet known to be.

    :param links: every link.
    :param everyone: whether all are wanted, or one in turn.
    :param turn: rises by one with each round.
    :param now: the present instant.
    """
    ready = [link for link in links if link.retry_at <= now]
    if ready and not everyone:
        ready = [ready[turn % len(ready)]]
    return sorted(ready, key=lambda link: link.channel is None)


class Relay:
    """Compares documents with the neighbours in a thread of its own.

    :param publications: the documents in force here.
    :param trust: is told when peers have been compared with.
    :param hello: the greeting of this process.
    :param neighbours: returns the present neighbours.
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
        self._news = threading.Event()
        self._stopping = False
        self._turn = 0
        self._random = random.Random()
        self._closed_bytes = 0
        self.last_answer_at = time.monotonic()
        publications.listen(self._news.set)

    @property
    def bytes_total(self) -> int:
        """Bytes sent and received on the connections opened here."""
        opened = [k.channel for k in list(self._links_by_id.values()) if k.channel]
        return self._closed_bytes + sum(c.bytes_sent + c.bytes_received for c in opened)

    def start(self) -> None:
        """Begin to compare in the background."""
        threading.Thread(target=self._run, name="relay", daemon=True).start()

    def stop(self) -> None:
        """Stop to compare and close the connections."""
        self._stopping = True
        self._news.set()

    # -----------------------------------------------------------------------
    #   Rounds
    # -----------------------------------------------------------------------

    def _run(self) -> None:
        while not self._stopping:
            news = self._news.wait(self._interval())
            self._news.clear()
            self._trust.record_activity(time.monotonic())
            self._update_links()
            self._round(everyone=news or not self._trust.has_compared)
        for link in self._links_by_id.values():
            self._close(link)

    def _interval(self) -> float:
        if not self._trust.is_trusted(time.monotonic()):
            return COMPARE_INTERVAL_S / 10
        return COMPARE_INTERVAL_S * self._random.uniform(0.75, 1.25)

    def _round(self, everyone: bool) -> None:
        self._turn += 1
        links = list(self._links_by_id.values())
        chosen = choose_links(links, everyone, self._turn, time.monotonic())
        answers = [self._reconcile_safely(link) for link in chosen]
        now = time.monotonic()
        if any(answers):
            self.last_answer_at = now
            self._trust.record_comparison(now)

    def _update_links(self) -> None:
        wanted = {e.endpoint_id: e for e in self._neighbours()}
        for endpoint_id, link in list(self._links_by_id.items()):
            if wanted.get(endpoint_id) != link.endpoint:
                self._close(link)
                del self._links_by_id[endpoint_id]
        for endpoint_id, endpoint in wanted.items():
            self._links_by_id.setdefault(endpoint_id, Link(endpoint))

    # -----------------------------------------------------------------------
    #   One neighbour
    # -----------------------------------------------------------------------

    def _reconcile_safely(self, link: Link) -> bool:
        try:
            self._reconcile(link)
        except errors.WireError:
            self._close(link)
            pause = min(MAX_RETRY_S, RETRY_S * 2**link.failures)
            link.failures += 1
            link.retry_at = time.monotonic() + pause * self._random.uniform(0.5, 1)
            return False
        link.failures = 0
        return True

    def _reconcile(self, link: Link) -> None:
        if link.channel is None:
            link.channel = self._connect(link.endpoint)
        channel = link.channel
        channel.send(messages.CompareMessage(self._publications.versions()))
        told = _expect(channel, messages.RelayMessage)
        self._publications.take(told)
        brought = self._publications.compare(told.versions)
        if brought.deltas:
            channel.send(brought)
            _expect(channel, messages.CompareMessage)

    def _connect(self, endpoint: table.Endpoint) -> channel_module.Channel:
        channel, peer = channel_module.connect(
            endpoint.host, endpoint.port, self._hello
        )
        if peer.endpoint_id != endpoint.endpoint_id:
            channel.close()
            text = f"{peer.endpoint_id} answers for {endpoint.endpoint_id}; wait"
            raise errors.ChannelClosedError(text)
        return channel

    def _close(self, link: Link) -> None:
        if link.channel is not None:
            channel, link.channel = link.channel, None
            self._closed_bytes += channel.bytes_sent + channel.bytes_received
            channel.close()


def _expect(channel: channel_module.Channel, cls: type) -> messages.Message:
    answer = channel.receive(time.monotonic() + ANSWER_LIMIT_S)
    if not isinstance(answer, cls):
        text = f"{type(answer).__name__} is no answer here; run matching versions"
        raise errors.MalformedMessageError(text)
    return answer
