"""What a load tool saw, by kind."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from radishtray_testing.load_plan import KindLoad

BIN_S = 0.1
_HIGHEST_US = 120_000_000
_QUANTILES = (50, 90, 99, 99.9)


class KindResult:
    """Results of one kind.

    Attributes:
        kind: The kind.
        outcomes: Final outcomes: `good`, `late`, `not_run:<reason>`,
            `outcome_unknown:<reason>` or `failed:<detail>`.
        arrivals: Arrivals by bin of their time.
        served: Good requests by bin of their arrival.
        completed: Good requests by bin of their answer.
        resends: Most resends of one request.
    """

    __slots__ = (
        "_latencies",
        "arrivals",
        "completed",
        "kind",
        "outcomes",
        "resends",
        "served",
    )

    def __init__(self, kind: KindLoad) -> None:
        """Starts empty."""
        self.kind = kind
        self.outcomes: Counter[str] = Counter()
        self.arrivals: Counter[int] = Counter()
        self.served: Counter[int] = Counter()
        self.completed: Counter[int] = Counter()
        self.resends = 0
        self._latencies = HdrHistogram(1, _HIGHEST_US, 3)

    def arrived(self, at_s: float) -> None:
        """Counts an arrival."""
        self.arrivals[int(at_s / BIN_S)] += 1

    def ended(
        self, outcome: str, arrival_s: float, end_s: float, resends: int
    ) -> None:
        """Counts the end of a request.

        Args:
            outcome: Final outcome.
            arrival_s: When it was due, in seconds of the run; latencies start
                here even if the tool sent it late.
            end_s: When it ended.
            resends: How often it was sent again.
        """
        self.outcomes[outcome] += 1
        self.resends = max(self.resends, resends)
        if outcome != "good":
            return
        self.served[int(arrival_s / BIN_S)] += 1
        self.completed[int(end_s / BIN_S)] += 1
        microseconds = int((end_s - arrival_s) * 1e6)
        self._latencies.record_value(min(max(1, microseconds), _HIGHEST_US))

    def to_json(self, bins: int) -> dict[str, Any]:
        """Returns the results as JSON values.

        Args:
            bins: Number of bins of the run.
        """
        latencies = self._latencies
        return {
            "kind": self.kind.to_json(),
            "outcomes": dict(self.outcomes),
            "most_resends": self.resends,
            "latency_ms": {
                str(q): latencies.get_value_at_percentile(q) / 1000
                for q in _QUANTILES
            },
            "bin_s": BIN_S,
            "arrivals": [self.arrivals[b] for b in range(bins)],
            "served": [self.served[b] for b in range(bins)],
            "completed": [self.completed[b] for b in range(bins)],
        }
