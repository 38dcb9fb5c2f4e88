"""Least-squares fit of a cost over a size."""

import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

ROUNDS = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """Cost of one more unit, and the cost without any.

    Parameters
    ----------
    name, unit : str
        What was measured, as cost per unit of size.
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
    """Fit a line through at least four points."""
    count = len(sizes)
    if count < 4 or count != len(values):
        raise ValueError(f"{name}: four or more points are needed")
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((x - mean_size) * (y - mean_value) for x, y in pairs) / spread
    intercept = mean_value - slope * mean_size
    residual = sum((y - intercept - slope * x) ** 2 for x, y in pairs)
    error = math.sqrt(residual / (count - 2) / spread)
    return Slope(name, unit, list(sizes), list(values), slope, error, intercept)


def measure_cpu_us(work: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds, the least of some rounds."""
    times = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        work()
        times.append((time.process_time_ns() - started_ns) / 1e3)
    return min(times)
