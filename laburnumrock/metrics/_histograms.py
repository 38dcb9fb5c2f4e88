"""HDR latency histograms per client account and length class."""

from dataclasses import dataclass
from enum import StrEnum

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000

# Bounds the memory when there are many client accounts; one histogram takes about 60 KB.
MAX_HISTOGRAMS = 2_000


class Measure(StrEnum):
    """Latencies that are measured."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    QUEUE_WAIT = "queue_wait"
    TOTAL = "total"


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Summary of one histogram.

    Parameters
    ----------
    count : int
        Number of recorded values.
    p50_s, p95_s, p99_s, max_s : float
        Percentiles and maximum in seconds.
    """

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class HistogramRegistry:
    """One histogram per client account, length class and measured latency."""

    def __init__(self) -> None:
        self.histograms: dict[tuple[str, str, Measure], HdrHistogram] = {}

    def record(self, client_account: str, length_class: str, measure: Measure, value_s: float):
        """Record one latency.

        Values for a new histogram are discarded once there are `MAX_HISTOGRAMS` of them.

        Parameters
        ----------
        client_account : str
            Client account of the request.
        length_class : str
            Length class of the request, or the name of a plain service.
        measure : Measure
            Which latency was measured.
        value_s : float, >= 0
            Latency in seconds.
        """
        key = (client_account, length_class, measure)
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                return
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms[key] = histogram
        value_us = round(value_s * MICROSECONDS_PER_SECOND)
        histogram.record_value(min(max(value_us, LOWEST_US), HIGHEST_US))

    def summarize(self) -> dict[str, dict[str, dict[str, Percentiles]]]:
        """Return the percentiles by client account, length class and measure."""
        summary: dict[str, dict[str, dict[str, Percentiles]]] = {}
        for (account, length_class, measure), histogram in sorted(self.histograms.items()):
            by_length_class = summary.setdefault(account, {}).setdefault(length_class, {})
            by_length_class[str(measure)] = _summarize(histogram)
        return summary


def _summarize(histogram: HdrHistogram) -> Percentiles:
    def percentile(value: float) -> float:
        return histogram.get_value_at_percentile(value) / MICROSECONDS_PER_SECOND

    return Percentiles(
        count=histogram.get_total_count(),
        p50_s=percentile(50),
        p95_s=percentile(95),
        p99_s=percentile(99),
        max_s=percentile(100),
    )
