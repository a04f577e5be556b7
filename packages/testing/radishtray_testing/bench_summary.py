"""Computes the summary of one run of the bench."""

import statistics
from typing import Any

from radishtray_testing.bench_scenarios import event_times

_RECOVERY_WINDOW_BINS = 10  # One second of bins of 0.1 s.
_RECOVERY_THRESHOLD = 0.9


class RunSummary:
    """Summary of one run, as shown in reports.

    Attributes:
        policy: Admission policy.
        seed: Seed.
        good_share_before: Weighted share of good requests among the arrivals
            before the event.
        good_share_during: The same among the arrivals during the event.
        good_share_after: The same among the arrivals after the event.
        goodput_per_s: Weighted good answers per second during the event.
        recovery_s: Time from the end of the event until the good share has
            recovered; see `_recovery_bins`.
        good_share_by_kind: Share of good requests among the arrivals during
            the event, by kind.
        added_latency_ms: Latency minus the mean service time of the call chain:
            p50 and p99, each as the median over the kinds. Only meaningful
            with fixed service times.
        measurements: The measurements of the run, as `run_scenario` returns
            them.
    """

    __slots__ = (
        "added_latency_ms",
        "good_share_after",
        "good_share_before",
        "good_share_by_kind",
        "good_share_during",
        "goodput_per_s",
        "measurements",
        "policy",
        "recovery_s",
        "seed",
    )

    def __init__(self, measurements: dict[str, Any]) -> None:
        """Computes the summary of the measurements of a run."""
        self.measurements = measurements
        self.policy = str(measurements["policy"])
        self.seed = int(measurements["seed"])
        bin_s = measurements["kinds"][0]["bin_s"]
        event_begin, event_end = (
            round(t / bin_s) for t in event_times(measurements["seconds"])
        )
        run_end = round(measurements["seconds"] / bin_s)
        arrivals = weighted_series(measurements, "arrivals")
        served = weighted_series(measurements, "served")
        self.good_share_before = _good_share(served, arrivals, 0, event_begin)
        self.good_share_during = _good_share(
            served, arrivals, event_begin, event_end
        )
        self.good_share_after = _good_share(
            served, arrivals, event_end, run_end
        )
        completed = weighted_series(measurements, "completed")
        self.goodput_per_s = sum(completed[event_begin:event_end]) / (
            (event_end - event_begin) * bin_s
        )
        self.recovery_s = bin_s * _recovery_bins(
            served[event_end:], arrivals[event_end:], self.good_share_before
        )
        self.good_share_by_kind = {
            kind["kind"]["name"]: _good_share(
                kind["served"], kind["arrivals"], event_begin, event_end
            )
            for kind in measurements["kinds"]
        }
        self.added_latency_ms = _added_latency_ms(measurements)

    @property
    def cpu_ms_per_call(self) -> float:
        """Processor time of all nodes per first attempt, in milliseconds."""
        counters: dict[str, float] = self.measurements["counters"]
        attempts = counters.get("radishtray_attempts_total", 0.0)
        return (
            1000 * float(self.measurements["node_cpu_s"]) / max(1.0, attempts)
        )


def weighted_series(measurements: dict[str, Any], series: str) -> list[float]:
    """Returns the weighted sum of a series over all kinds, for each bin."""
    rows = [
        [kind["kind"]["weight"] * n for n in kind[series]]
        for kind in measurements["kinds"]
    ]
    return [sum(column) for column in zip(*rows, strict=True)]


def _good_share(
    served: list[float], arrivals: list[float], begin_bin: int, end_bin: int
) -> float:
    arrived = sum(arrivals[begin_bin:end_bin])
    return sum(served[begin_bin:end_bin]) / arrived if arrived else 1.0


def _recovery_bins(
    served: list[float], arrivals: list[float], share_before: float
) -> int:
    """Returns the number of bins until the good share has recovered.

    It has recovered when it is, and stays, at least `_RECOVERY_THRESHOLD` of
    the share before the event. The share of a bin is computed over the second
    of arrivals that starts with the bin.

    Args:
        served: Good requests by arrival bin, from the end of the event on.
        arrivals: Arrivals in the same bins.
        share_before: Good share before the event.
    """
    last_window_start = len(arrivals) - _RECOVERY_WINDOW_BINS
    for window_start in reversed(range(last_window_start + 1)):
        share = _good_share(
            served, arrivals, window_start, window_start + _RECOVERY_WINDOW_BINS
        )
        if share < _RECOVERY_THRESHOLD * share_before:
            return window_start + 1
    return 0


def _added_latency_ms(measurements: dict[str, Any]) -> tuple[float, float]:
    added_by_kind = [
        (
            kind["latency_ms"]["50"]
            - measurements["chain_ms"][kind["kind"]["name"]],
            kind["latency_ms"]["99"]
            - measurements["chain_ms"][kind["kind"]["name"]],
        )
        for kind in measurements["kinds"]
    ]
    median_p50 = statistics.median(p50 for p50, _ in added_by_kind)
    return median_p50, statistics.median(p99 for _, p99 in added_by_kind)
