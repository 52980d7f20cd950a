"""The requests of a connection that wait for their responses."""

import asyncio
import collections
import collections.abc
import dataclasses

from savoryhollow.http1 import losses, messages

__all__ = ["PipelinedRequest", "startable"]

# Methods whose requests may run concurrently with others of the same connection.
CONCURRENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


@dataclasses.dataclass(slots=True)
class PipelinedRequest:
    """A request of a connection whose response has not been sent yet.

    :param request: the request; None if it was rejected while it was read.
    :param response: the response, once it is known.
    :param task: the task that serves the request, once it has started.
    :param is_handled: whether the handler has got the request.
    :param reserved_bytes: the memory reserved for its body.
    """

    request: messages.Request | None
    response: messages.Response | None = None
    task: asyncio.Task | None = None
    is_handled: bool = False
    reserved_bytes: int = 0

    def cancel(self, reason: losses.Reason, reporter: losses.LossReporter) -> None:
        """Give the request up, and report that unless the handler does.

        :param reason: why; the handler gets it as the message of its cancellation.
        :param reporter: the reporter of the connection.
        """
        if self.task is not None:
            self.task.cancel(reason.value)
        if self.request is None:
            return
        if self.response is not None:
            reporter.report_request(self.request, losses.Stage.RESPONSE, reason)
        elif not self.is_handled:
            reporter.report_request(self.request, losses.Stage.QUEUED, reason)


def ends_with_refusal(entries: collections.deque[PipelinedRequest]) -> bool:
    """Return whether a response that closes the connection waits for earlier ones."""
    return bool(entries) and entries[-1].request is None


def startable(
    entries: collections.abc.Iterable[PipelinedRequest],
) -> collections.abc.Iterator[tuple[PipelinedRequest, messages.Request]]:
    """Return each request that need not wait for earlier responses and isn't started.

    :param entries: the requests of a connection, in their order.
    """
    for position, entry in enumerate(entries):
        request = entry.request
        if request is None:
            return
        is_concurrent = request.method in CONCURRENT_METHODS
        if entry.task is None and (is_concurrent or position == 0):
            yield entry, request
        if not is_concurrent or not request.keep_alive:
            return
