"""Line fits, quantiles and the processor time of a process."""

import pytest

from orchidpath.tools.measuring import Point, fit_line, quantile, summarize
from orchidpath.tools.process_usage import ProcessUsage, parse_cpu_seconds


def test_points_on_a_line_leave_no_residual() -> None:
    fit = fit_line([Point(size, 3.0 + 0.5 * size) for size in (10.0, 20.0, 70.0)])
    assert fit.slope == pytest.approx(0.5)
    assert fit.intercept == pytest.approx(3.0)
    assert fit.residual == pytest.approx(0.0, abs=1e-9)
    assert fit.at(100.0) == pytest.approx(53.0)


def test_residual_is_the_root_mean_square_distance() -> None:
    fit = fit_line([Point(0.0, 1.0), Point(0.0, -1.0), Point(2.0, 3.0), Point(2.0, 1.0)])
    assert fit.slope == pytest.approx(1.0)
    assert fit.residual == pytest.approx(1.0)
    assert fit.relative_residual == pytest.approx(1.0)


def test_a_curve_shows_in_the_residual() -> None:
    straight = fit_line([Point(size, size) for size in (1.0, 2.0, 4.0, 8.0)])
    curved = fit_line([Point(size, size * size) for size in (1.0, 2.0, 4.0, 8.0)])
    assert curved.relative_residual > 0.1 > straight.relative_residual


@pytest.mark.parametrize("points", [[], [Point(1.0, 1.0)], [Point(1.0, 1.0), Point(1.0, 2.0)]])
def test_one_size_makes_no_line(points: list[Point]) -> None:
    with pytest.raises(ValueError, match="two sizes"):
        fit_line(points)


def test_quantile_is_a_measured_figure() -> None:
    figures = [float(number) for number in range(1, 101)]
    assert quantile(figures, 0.5) == 50.0
    assert quantile(figures, 0.99) == 99.0
    assert quantile(figures, 1.0) == 100.0
    assert quantile(figures, 0.0) == 1.0
    assert quantile([7.0], 0.99) == 7.0


def test_summary_sorts() -> None:
    summary = summarize([3.0, 1.0, 2.0])
    assert (summary.count, summary.p50, summary.p99, summary.maximum) == (3, 2.0, 3.0, 3.0)


def test_summary_of_an_empty_list_is_rejected() -> None:
    with pytest.raises(ValueError, match="cannot compute quantiles: the set of figures is empty"):
        summarize([])


def test_processor_time_is_read_behind_any_name() -> None:
    fields = "S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0 1 0 100 200 300"
    assert parse_cpu_seconds(f"12 (a) name (x) {fields}", 100.0) == pytest.approx(3.0)


def test_processor_share_is_over_the_time_between() -> None:
    earlier = ProcessUsage(at_seconds=10.0, cpu_seconds=1.0, resident_bytes=0)
    later = ProcessUsage(at_seconds=14.0, cpu_seconds=2.0, resident_bytes=0)
    assert later.cpu_share_since(earlier) == pytest.approx(0.25)
