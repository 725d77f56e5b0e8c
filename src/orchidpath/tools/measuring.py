"""Line fits and quantiles of measured figures, for the capacity measurements; pure."""

import math
from collections.abc import Sequence

import msgspec


class Point(msgspec.Struct, frozen=True):
    """A figure measured at one size."""

    size: float
    figure: float


class LinearFit(msgspec.Struct, frozen=True, kw_only=True):
    """A straight line fitted to measured points.

    ``residual`` is the root mean square of the distances to the line, in the unit of the figure;
    ``relative_residual`` is ``residual`` divided by the absolute mean figure.
    """

    slope: float
    intercept: float
    residual: float
    relative_residual: float

    def at(self, size: float) -> float:
        """Return the line's figure at a size."""
        return self.intercept + self.slope * size


class Quantiles(msgspec.Struct, frozen=True, kw_only=True):
    """Count, quantiles and maximum of a set of measured figures."""

    count: int
    p50: float
    p95: float
    p99: float
    maximum: float


def fit_line(points: Sequence[Point]) -> LinearFit:
    """Fit a straight line by least squares.

    Parameters
    ----------
    points
        At least two points, of at least two different sizes.

    Returns
    -------
    LinearFit
        The line and its residuals.

    Raises
    ------
    ValueError
        The points do not have at least two different sizes.
    """
    if len({point.size for point in points}) < 2:
        raise ValueError("a line needs points of at least two sizes")
    mean_size = math.fsum(point.size for point in points) / len(points)
    mean_figure = math.fsum(point.figure for point in points) / len(points)
    spread = math.fsum((point.size - mean_size) ** 2 for point in points)
    products = ((point.size - mean_size) * (point.figure - mean_figure) for point in points)
    slope = math.fsum(products) / spread
    intercept = mean_figure - slope * mean_size
    squares = ((point.figure - intercept - slope * point.size) ** 2 for point in points)
    residual = math.sqrt(math.fsum(squares) / len(points))
    return LinearFit(
        slope=slope,
        intercept=intercept,
        residual=residual,
        relative_residual=residual / abs(mean_figure) if mean_figure else 0.0,
    )


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest figure that at least the given share of the figures does not exceed.

    Parameters
    ----------
    ordered
        Figures in ascending order, at least one.
    share
        Between 0 and 1.
    """
    rank = math.ceil(share * len(ordered))
    return ordered[min(len(ordered), max(1, rank)) - 1]


def summarize(figures: Sequence[float]) -> Quantiles:
    """Return the quantiles of measured figures.

    Raises
    ------
    ValueError
        There are no figures.
    """
    if not figures:
        raise ValueError("cannot compute quantiles: the set of figures is empty")
    ordered = sorted(figures)
    return Quantiles(
        count=len(ordered),
        p50=quantile(ordered, 0.5),
        p95=quantile(ordered, 0.95),
        p99=quantile(ordered, 0.99),
        maximum=ordered[-1],
    )
