import pathlib

import pytest

from bench import capacity, slopes

CAPACITY_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def test_the_page_contains_the_tables_rendered_from_the_slopes():
    assert capacity.render(capacity.load()) in CAPACITY_PAGE.read_text()


def test_fit_returns_the_least_squares_line():
    slope = slopes.fit("n", "ms", "endpoint", "c", [(0, 1), (10, 3), (20, 5)])
    assert (slope.intercept, slope.slope, slope.r2) == pytest.approx((1, 0.2, 1))
    assert slope.value_at(100) == pytest.approx(21)
