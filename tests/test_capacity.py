import pathlib

import pytest

from bench import capacity, slopes

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def test_the_page_holds_the_tables_that_follow_from_the_slopes():
    assert capacity.render(capacity.load()) in PAGE.read_text()


def test_a_line_is_fitted_through_its_points():
    slope = slopes.fit("n", "ms", "endpoint", "c", [(0, 1), (10, 3), (20, 5)])
    assert (slope.intercept, slope.slope, slope.r2) == pytest.approx((1, 0.2, 1))
    assert slope.value_at(100) == pytest.approx(21)
