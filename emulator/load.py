"""An open-loop load generator.

The arrival times are computed in advance, and each response time is measured from
the scheduled arrival of its request, so a stalled system can't hide its tail latency.
"""

import collections
import concurrent.futures
import dataclasses
import http.client
import multiprocessing
import random
import threading
import time

import hdrh.histogram
import urllib3.connection
import urllib3.exceptions

__all__ = ["LoadGenerator", "LoadResult", "Stream", "run"]

# Range of the histograms, in us, and their precision in significant digits.
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
# Time before the first arrival for all processes to start their threads, in s.
START_DELAY_S = 0.5
# Default number of processes of a load generator.
DEFAULT_PROCESSES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind that arrive as a Poisson process.

    :param urls: the URLs (``http://host:port``) of the daemons, called in rotation.
    :param rate: the mean number of arrivals per second.
    :param deadline_ms: the deadline of each request, in ms.
    :param idempotent: the value of the idempotency header.
    :param direct: send no Savoryhollow headers, for a call to a backend server.
    """

    name: str
    urls: tuple[str, ...]
    service: str
    rank: str
    rate: float
    deadline_ms: int = 1000
    idempotent: bool = True
    caller: str = "emulator"
    direct: bool = False


@dataclasses.dataclass(slots=True)
class LoadResult:
    """The results of the requests of one stream.

    :param histogram: the response times of the served requests, in us.
    :param outcomes: the number of requests by outcome.
    :param reasons: the number of requests that did not run, by reason.
    :param endpoints: the number of served requests by endpoint id.
    """

    histogram: hdrh.histogram.HdrHistogram
    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    reasons: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    endpoints: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    not_run_ids: list[str] = dataclasses.field(default_factory=list)
    served_ids: list[str] = dataclasses.field(default_factory=list)

    def add(self, other: "LoadResult") -> None:
        """Add the results of another process."""
        self.histogram.add(other.histogram)
        self.outcomes += other.outcomes
        self.reasons += other.reasons
        self.endpoints += other.endpoints
        self.not_run_ids += other.not_run_ids
        self.served_ids += other.served_ids

    def __getstate__(self) -> list:
        values = [getattr(self, name) for name in self.__slots__[1:]]
        return [self.histogram.encode(), *values]

    def __setstate__(self, state: list) -> None:
        self.histogram = hdrh.histogram.HdrHistogram.decode(state[0])
        for name, value in zip(self.__slots__[1:], state[1:], strict=True):
            setattr(self, name, value)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the response times of served requests, in ms.

        :param percentile: from 0 to 100.
        """
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def percentile_of_sent_ms(self, percentile: float, unserved_ms: float) -> float:
        """Return a percentile of the response times of all requests sent, in ms.

        :param percentile: from 0 to 100.
        :param unserved_ms: the time that counts for a request that was not served,
            in ms, so that a system can't improve its tail latency by failing.
        """
        served = self.outcomes["served"]
        rank = self.outcomes.total() * percentile / 100
        if rank > served:
            return unserved_ms
        return self.percentile_ms(100 * rank / served) if served else 0.0


@dataclasses.dataclass(order=True, slots=True)
class _Arrival:
    offset_s: float
    number: int
    stream: Stream = dataclasses.field(compare=False)


class LoadGenerator:
    """A pool of processes that send streams; a context manager.

    The processes are reused for all runs, because starting one takes long.

    :param workers: the maximum number of open requests, over all processes.
    :param processes: the number of processes; one alone can't keep up with the load.
    """

    def __init__(self, workers: int, processes: int = DEFAULT_PROCESSES):
        self._workers = workers // processes
        self._processes = processes
        context = multiprocessing.get_context("spawn")
        self._pool = concurrent.futures.ProcessPoolExecutor(processes, context)

    def __enter__(self) -> "LoadGenerator":
        futures = [self._pool.submit(time.sleep, 0.2) for _ in range(self._processes)]
        concurrent.futures.wait(futures)
        return self

    def __exit__(self, *_: object) -> None:
        self._pool.shutdown()

    def run(
        self, streams: list[Stream], duration_s: float, seed: int
    ) -> dict[str, LoadResult]:
        """Send all streams concurrently and return their results.

        :param streams: the streams.
        :param duration_s: the time during which requests arrive, in s.
        :param seed: the seed of the arrival times.
        :returns: the results by stream name.
        """
        process_streams = [
            dataclasses.replace(stream, rate=stream.rate / self._processes)
            for stream in streams
        ]
        start_at = time.monotonic() + START_DELAY_S
        process_futures = [
            self._pool.submit(
                _run_process,
                process_streams,
                duration_s,
                self._workers,
                seed + n,
                start_at,
            )
            for n in range(self._processes)
        ]
        results_by_name = process_futures[0].result()
        for future in process_futures[1:]:
            for name, result in future.result().items():
                results_by_name[name].add(result)
        return results_by_name


def run(
    streams: list[Stream],
    duration_s: float,
    workers: int,
    seed: int,
    processes: int = DEFAULT_PROCESSES,
) -> dict[str, LoadResult]:
    """Send all streams concurrently with a load generator of their own.

    :param streams: the streams.
    :param duration_s: the time during which requests arrive, in s.
    :param workers: the maximum number of open requests, over all processes.
    :param seed: the seed of the arrival times.
    :param processes: the number of processes.
    :returns: the results by stream name.
    """
    with LoadGenerator(workers, processes) as generator:
        return generator.run(streams, duration_s, seed)


def _run_process(streams, duration_s, workers, seed, start_at) -> dict[str, LoadResult]:
    arrivals = _schedule_arrivals(streams, duration_s, seed)
    sender = _Sender(streams, arrivals, start_at)
    threads = [threading.Thread(target=sender.send_arrivals) for _ in range(workers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sender.results_by_name


def _schedule_arrivals(streams, duration_s, seed) -> list[_Arrival]:
    rng = random.Random(seed)
    arrivals = []
    for stream in streams:
        offset_s = 0.0
        number = 0
        while (
            stream.rate > 0
            and (offset_s := offset_s + rng.expovariate(stream.rate)) < duration_s
        ):
            arrivals.append(_Arrival(offset_s, number, stream))
            number += 1
    return sorted(arrivals, key=lambda arrival: arrival.offset_s)


class _Sender:
    def __init__(
        self, streams: list[Stream], arrivals: list[_Arrival], start_at: float
    ):
        self._arrivals = iter(arrivals)
        self._lock = threading.Lock()
        self._start_at = start_at
        self.results_by_name = {
            stream.name: LoadResult(
                hdrh.histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            )
            for stream in streams
        }

    def send_arrivals(self) -> None:
        connections_by_url: dict[str, urllib3.connection.HTTPConnection] = {}
        while True:
            with self._lock:
                arrival = next(self._arrivals, None)
            if arrival is None:
                break
            due_at = self._start_at + arrival.offset_s
            time.sleep(max(0.0, due_at - time.monotonic()))
            self._send(arrival, due_at, connections_by_url)
        for connection in connections_by_url.values():
            connection.close()

    def _send(self, arrival, due_at, connections_by_url) -> None:
        stream = arrival.stream
        url = stream.urls[arrival.number % len(stream.urls)]
        connection = connections_by_url.get(url)
        if connection is None:
            host, _, port = url.removeprefix("http://").partition(":")
            connection = urllib3.connection.HTTPConnection(
                host, int(port), timeout=stream.deadline_ms / 1000 + 5
            )
            connections_by_url[url] = connection
        try:
            connection.request(
                "GET", "/work", headers=_make_headers(stream), preload_content=False
            )
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError):
            connection.close()
            del connections_by_url[url]
            self._record(stream, None, b"", due_at)
            return
        self._record(stream, response, body, due_at)

    def _record(self, stream, response, body, due_at) -> None:
        elapsed_us = int((time.monotonic() - due_at) * 1e6)
        result = self.results_by_name[stream.name]
        headers = {} if response is None else response.headers
        with self._lock:
            if response is None:
                result.outcomes["no-answer"] += 1
                return
            outcome = headers.get("Savoryhollow-Outcome", "served")
            if outcome == "served" and response.status >= 500:
                outcome = "failed"
            result.outcomes[outcome] += 1
            request_id = headers.get("Savoryhollow-Request-Id", "")
            if outcome == "served":
                result.histogram.record_value(elapsed_us)
                result.endpoints[headers.get("Savoryhollow-Endpoint", "direct")] += 1
                result.served_ids.append(request_id)
            elif outcome == "not-run":
                result.reasons[_parse_reason(body)] += 1
                result.not_run_ids.append(request_id)


def _make_headers(stream: Stream) -> dict[str, str]:
    if stream.direct:
        return {}
    return {
        "Savoryhollow-Service": stream.service,
        "Savoryhollow-Rank": stream.rank,
        "Savoryhollow-Deadline-Ms": str(stream.deadline_ms),
        "Savoryhollow-Idempotent": "true" if stream.idempotent else "false",
        "Savoryhollow-Caller": stream.caller,
    }


def _parse_reason(body: bytes) -> str:
    _, _, rest = body.partition(b'"reason": "')
    return rest.partition(b'"')[0].decode()
