import hdrh.histogram
import pytest

from emulator import load


def make_result(times_ms, unserved=0):
    histogram = hdrh.histogram.HdrHistogram(load.LOWEST_US, load.HIGHEST_US, 3)
    result = load.LoadResult(histogram)
    for time_ms in times_ms:
        histogram.record_value(time_ms * 1000)
        result.outcomes["served"] += 1
    result.outcomes["failed"] = unserved
    return result


def test_unserved_requests_count_towards_the_tail_latency():
    result = make_result([10] * 98, unserved=2)
    assert result.percentile_ms(99) == pytest.approx(10, rel=0.01)
    assert result.percentile_of_sent_ms(99, 2000) == 2000
    assert result.percentile_of_sent_ms(97, 2000) == pytest.approx(10, rel=0.01)


def test_the_percentiles_agree_if_all_requests_are_served():
    result = make_result(range(1, 200))
    for percentile in (50, 99, 99.9):
        assert result.percentile_of_sent_ms(percentile, 1) == result.percentile_ms(
            percentile
        )


def test_arrivals_are_the_same_for_the_same_seed():
    stream = load.Stream("a", ("http://127.0.0.1:1",), "s", "r", 100.0)
    first = load._schedule_arrivals([stream], 2.0, 5)
    assert first == load._schedule_arrivals([stream], 2.0, 5)
    assert first != load._schedule_arrivals([stream], 2.0, 6)
