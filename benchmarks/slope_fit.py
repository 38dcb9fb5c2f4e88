"""Least-squares fit of a cost as a linear function of a size."""

import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

ROUNDS = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """Marginal cost per unit of size, with the fixed cost.

    Parameters
    ----------
    name, unit : str
        Name of the measured cost, and its unit per unit of size.
    sizes, values : list of float
        Measured points.
    slope, error : float
        Cost per unit and its standard error.
    intercept : float
        Cost at size 0.
    """

    name: str
    unit: str
    sizes: list[float]
    values: list[float]
    slope: float
    error: float
    intercept: float


def fit_slope(name: str, unit: str, sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fit a line through four or more points."""
    count = len(sizes)
    if count < 4 or count != len(values):
        raise ValueError(f"{name}: a fit needs four or more points, with one value per size")
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    size_deviation_sum = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((x - mean_size) * (y - mean_value) for x, y in pairs) / size_deviation_sum
    intercept = mean_value - slope * mean_size
    residual_sum = sum((y - intercept - slope * x) ** 2 for x, y in pairs)
    error = math.sqrt(residual_sum / (count - 2) / size_deviation_sum)
    return Slope(name, unit, list(sizes), list(values), slope, error, intercept)


def measure_cpu_us(function: Callable[[], object]) -> float:
    """Return the CPU time of one call in microseconds, as the minimum of `ROUNDS` calls."""
    times = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        function()
        times.append((time.process_time_ns() - started_ns) / 1e3)
    return min(times)
