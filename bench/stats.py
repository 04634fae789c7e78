"""Latency histograms, and summaries of the ratios of pairs of runs."""

from collections.abc import Iterable
from statistics import median

from hdrh.histogram import HdrHistogram

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def make_histogram(seconds: Iterable[float] = ()) -> HdrHistogram:
    """Return a histogram in microseconds of latencies in seconds."""
    histogram = HdrHistogram(
        MIN_LATENCY_MICROSECONDS, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
    )
    for value in seconds:
        histogram.record_value(max(int(value * 1e6), MIN_LATENCY_MICROSECONDS))
    return histogram


def summarize(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count, and the percentiles and the maximum in milliseconds."""
    count = histogram.get_total_count()
    summary: dict[str, float] = {"count": count}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) if count else 0
        summary[f"p{percentile:g}"] = round(value / 1000, 3)
    largest = histogram.get_max_value() if count else 0
    summary["max"] = round(largest / 1000, 3)
    return summary


def summarize_ratios(ratios: list[float]) -> dict[str, float | list[float]]:
    """Return the median, the lowest and the highest ratio, and all of them."""
    return {
        "median": round(median(ratios), 3),
        "low": round(min(ratios), 3),
        "high": round(max(ratios), 3),
        "pairs": [round(value, 3) for value in ratios],
    }
