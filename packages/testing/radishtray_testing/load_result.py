"""Results that the load tool records for each kind of request."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from radishtray_testing.load_plan import KindLoad

BIN_S = 0.1
_MAX_LATENCY_US = 120_000_000
_PERCENTILES = (50, 90, 99, 99.9)


class KindResult:
    """Outcomes, time series and latencies of one kind.

    Attributes:
        kind: Rate and properties of the requests.
        outcomes: Final outcomes: `good`, `late`, `not_run:<reason>`,
            `outcome_unknown:<reason>` or `failed:<detail>`.
        arrivals: Number of arrivals by arrival bin.
        served: Number of good requests by arrival bin.
        completed: Number of good requests by the bin of their answer.
        max_resends: Most resends of one request.
    """

    __slots__ = (
        "_latencies",
        "arrivals",
        "completed",
        "kind",
        "max_resends",
        "outcomes",
        "served",
    )

    def __init__(self, kind: KindLoad) -> None:
        """Creates an empty result."""
        self.kind = kind
        self.outcomes: Counter[str] = Counter()
        self.arrivals: Counter[int] = Counter()
        self.served: Counter[int] = Counter()
        self.completed: Counter[int] = Counter()
        self.max_resends = 0
        self._latencies = HdrHistogram(1, _MAX_LATENCY_US, 3)

    def record_arrival(self, at_s: float) -> None:
        """Counts an arrival in its bin."""
        self.arrivals[int(at_s / BIN_S)] += 1

    def record_end(
        self, outcome: str, arrival_s: float, end_s: float, resends: int
    ) -> None:
        """Records the end of a request.

        Args:
            outcome: Final outcome.
            arrival_s: Scheduled arrival, in seconds since the start of the run.
                Latencies are measured from it, also if the request was sent
                late, to avoid coordinated omission.
            end_s: Time of the end, in seconds since the start of the run.
            resends: Number of resends.
        """
        self.outcomes[outcome] += 1
        self.max_resends = max(self.max_resends, resends)
        if outcome != "good":
            return
        self.served[int(arrival_s / BIN_S)] += 1
        self.completed[int(end_s / BIN_S)] += 1
        microseconds = int((end_s - arrival_s) * 1e6)
        self._latencies.record_value(min(max(1, microseconds), _MAX_LATENCY_US))

    def to_json(self, bin_count: int) -> dict[str, Any]:
        """Returns the results as JSON values.

        Args:
            bin_count: Number of bins in the run.
        """
        latencies = self._latencies
        return {
            "kind": self.kind.to_json(),
            "outcomes": dict(self.outcomes),
            "most_resends": self.max_resends,
            "latency_ms": {
                str(percentile): latencies.get_value_at_percentile(percentile)
                / 1000
                for percentile in _PERCENTILES
            },
            "bin_s": BIN_S,
            "arrivals": [self.arrivals[b] for b in range(bin_count)],
            "served": [self.served[b] for b in range(bin_count)],
            "completed": [self.completed[b] for b in range(bin_count)],
        }
