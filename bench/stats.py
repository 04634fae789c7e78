"""Latency histograms and ratios of pairs of runs."""

from collections.abc import Iterable
from statistics import median

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def make_histogram(seconds: Iterable[float] = ()) -> HdrHistogram:
    """Return a histogram of latencies in microseconds."""
    histogram = HdrHistogram(
        LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
    )
    for value in seconds:
        histogram.record_value(max(int(value * 1e6), LOWEST_MICROSECONDS))
    return histogram


def summarize(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count and percentiles in milliseconds."""
    count = histogram.get_total_count()
    summary: dict[str, float] = {"count": count}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) if count else 0
        summary[f"p{percentile:g}"] = round(value / 1000, 3)
    largest = histogram.get_max_value() if count else 0
    summary["max"] = round(largest / 1000, 3)
    return summary


def summarize_ratios(ratios: list[float]) -> dict[str, float | list[float]]:
    """Return the median and the spread of the ratios of pairs."""
    return {
        "median": round(median(ratios), 3),
        "low": round(min(ratios), 3),
        "high": round(max(ratios), 3),
        "pairs": [round(value, 3) for value in ratios],
    }
