"""Figures of one measured run."""

import statistics
from typing import Any

from radishtray_testing.bench_scenarios import event_times

_WINDOW_BINS = 10
_RECOVERED_SHARE = 0.9


class RunSummary:
    """What reports show of one run.

    Attributes:
        policy: Admission policy.
        seed: Seed.
        before: Weighted share of good requests before the event.
        during: The same for arrivals in the event.
        after: The same for arrivals after the event.
        goodput: Weighted good answers per second in the event.
        recovery_s: Time after the event until the share is back; see
            `_recovery`.
        kinds: Share of good requests in the event by kind.
        added_ms: Latency beyond the time of work, p50 and p99, median and
            greatest of the kinds; only meaningful with fixed times of work.
        run: The measurements.
    """

    __slots__ = (
        "added_ms",
        "after",
        "before",
        "during",
        "goodput",
        "kinds",
        "policy",
        "recovery_s",
        "run",
        "seed",
    )

    def __init__(self, run: dict[str, Any]) -> None:
        """Computes the figures."""
        self.run = run
        self.policy = str(run["policy"])
        self.seed = int(run["seed"])
        bin_s = run["kinds"][0]["bin_s"]
        begin, end = (round(t / bin_s) for t in event_times(run["seconds"]))
        last = round(run["seconds"] / bin_s)
        arrivals = weighted(run, "arrivals")
        served = weighted(run, "served")
        self.before = _share(served, arrivals, 0, begin)
        self.during = _share(served, arrivals, begin, end)
        self.after = _share(served, arrivals, end, last)
        completed = weighted(run, "completed")
        self.goodput = sum(completed[begin:end]) / ((end - begin) * bin_s)
        self.recovery_s = bin_s * _recovery(
            served[end:], arrivals[end:], self.before
        )
        self.kinds = {
            kind["kind"]["name"]: _share(
                kind["served"], kind["arrivals"], begin, end
            )
            for kind in run["kinds"]
        }
        self.added_ms = _added_ms(run)

    @property
    def cpu_ms_per_call(self) -> float:
        """Processor time of all nodes for each first attempt."""
        counters: dict[str, float] = self.run["counters"]
        attempts = counters.get("radishtray_attempts_total", 0.0)
        return 1000 * float(self.run["node_cpu_s"]) / max(1.0, attempts)


def weighted(run: dict[str, Any], series: str) -> list[float]:
    """Returns the sum of a series over all kinds, by their weights."""
    rows = [
        [kind["kind"]["weight"] * n for n in kind[series]]
        for kind in run["kinds"]
    ]
    return [sum(column) for column in zip(*rows, strict=True)]


def _share(
    served: list[float], arrivals: list[float], first: int, last: int
) -> float:
    arrived = sum(arrivals[first:last])
    return sum(served[first:last]) / arrived if arrived else 1.0


def _recovery(served: list[float], arrivals: list[float], before: float) -> int:
    """Bins until 0.9 of the share before the event is reached and kept.

    Each bin is judged with the arrivals of the second that begins with it.
    """
    count = len(arrivals) - _WINDOW_BINS
    for first in reversed(range(count + 1)):
        share = _share(served, arrivals, first, first + _WINDOW_BINS)
        if share < _RECOVERED_SHARE * before:
            return first + 1
    return 0


def _added_ms(run: dict[str, Any]) -> tuple[float, float]:
    added = [
        (
            kind["latency_ms"]["50"] - run["chain_ms"][kind["kind"]["name"]],
            kind["latency_ms"]["99"] - run["chain_ms"][kind["kind"]["name"]],
        )
        for kind in run["kinds"]
    ]
    middle = statistics.median(p50 for p50, _ in added)
    return middle, statistics.median(p99 for _, p99 in added)
