"""Counters and latencies of a node in the Prometheus text exposition."""

from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from radishtray_state import RefusalReason, RetryDenial

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
# Finer than the two significant digits of the histogram.
_LEADING_BITS = 9
_QUANTILES = (0.5, 0.9, 0.99, 0.999)


class _Latencies(Collector):
    """Histograms in microseconds, exported as summaries in seconds."""

    __slots__ = ("histograms", "timers")

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}
        self.timers: list[StageTimer] = []

    def collect(self) -> Iterator[Metric]:
        """Exports count, sum and quantiles of each stage."""
        family = SummaryMetricFamily(
            "radishtray_stage_seconds",
            "Time spent in a stage of a request, in seconds.",
            labels=["stage"],
        )
        quantiles = GaugeMetricFamily(
            "radishtray_stage_quantile_seconds",
            "Quantile of the time spent in a stage, in seconds.",
            labels=["stage", "quantile"],
        )
        for timer in self.timers:
            timer.flush()
        for stage, histogram in self.histograms.items():
            count = histogram.get_total_count()
            mean_us = histogram.get_mean_value() if count else 0.0
            family.add_metric([stage], count, count * mean_us / 1e6)
            for quantile in _QUANTILES:
                value_us = histogram.get_value_at_percentile(100 * quantile)
                quantiles.add_metric([stage, str(quantile)], value_us / 1e6)
        yield family
        yield quantiles


class _Gauges(Collector):
    """Values that are read when the metrics are scraped."""

    __slots__ = ("sources",)

    def __init__(self) -> None:
        self.sources: dict[str, tuple[str, Callable[[], float]]] = {}

    def collect(self) -> Iterator[Metric]:
        """Exports the present value of each source."""
        for name, (text, read) in self.sources.items():
            yield GaugeMetricFamily(name, text, value=read())


class StageTimer:
    """Records durations of one stage.

    Recording into the histogram itself took a tenth of the processor time of a
    request, so durations are counted by their leading bits and handed over
    when the metrics are read.
    """

    __slots__ = ("_counts", "_histogram")

    def __init__(self, histogram: HdrHistogram) -> None:
        """Records into the given histogram of microseconds."""
        self._histogram = histogram
        self._counts: dict[int, int] = {}

    def record(self, seconds: float) -> None:
        """Records one duration."""
        value_us = int(seconds * 1e6)
        shift = value_us.bit_length() - _LEADING_BITS
        if shift > 0:
            value_us = value_us >> shift << shift
        counts = self._counts
        counts[value_us] = counts.get(value_us, 0) + 1

    def flush(self) -> None:
        """Hands the counted durations over to the histogram."""
        counts, self._counts = self._counts, {}
        for value_us, count in counts.items():
            bounded_us = min(max(value_us, _LOWEST_US), _HIGHEST_US)
            self._histogram.record_value(bounded_us, count)


class Metrics:
    """All metrics of one node.

    Attributes:
        requests: Requests from callers, by service and kind.
        calls: Calls made by the upstream.
        attempts: First attempts towards upstreams' nodes.
        retries: Further attempts, by the reason of the failed one.
        retry_denials: Failed attempts that were not followed by another, by
            reason.
        key_redirects: Keyed calls sent to another owner of their slot.
        refusals: Refusals that this node decided, by reason.
        refusals_delivered: Refusals sent to callers, by reason.
        rejected: Rejected input, by listener and reason.
        connections: Ends of node connections, by reason.
    """

    __slots__ = (
        "_gauges",
        "_latencies",
        "_refusal_counters",
        "_registry",
        "attempts",
        "calls",
        "connections",
        "key_redirects",
        "refusals",
        "refusals_delivered",
        "rejected",
        "requests",
        "retries",
        "retry_denials",
    )

    def __init__(self) -> None:
        """Creates metrics with a series for every reason."""
        registry = CollectorRegistry()
        self._registry = registry
        self._latencies = _Latencies()
        self._gauges = _Gauges()
        registry.register(self._latencies)
        registry.register(self._gauges)
        self.requests = Counter(
            "radishtray_requests",
            "Requests from callers.",
            ["kind"],
            registry=registry,
        )
        self.calls = Counter(
            "radishtray_upstream_calls",
            "Calls made by the upstream.",
            registry=registry,
        )
        self.attempts = Counter(
            "radishtray_attempts", "First attempts.", registry=registry
        )
        self.retries = Counter(
            "radishtray_retries",
            "Further attempts by the reason of the failed one.",
            ["reason"],
            registry=registry,
        )
        self.retry_denials = Counter(
            "radishtray_retry_denials",
            "Failed attempts without a further one by reason.",
            ["reason"],
            registry=registry,
        )
        self.key_redirects = Counter(
            "radishtray_key_redirects",
            "Keyed calls that were sent to another owner of their slot.",
            registry=registry,
        )
        self.refusals = Counter(
            "radishtray_refusals",
            "Refusals decided by this node.",
            ["reason", "outcome"],
            registry=registry,
        )
        self.refusals_delivered = Counter(
            "radishtray_refusals_delivered",
            "Refusals sent to callers.",
            ["reason", "outcome"],
            registry=registry,
        )
        self.rejected = Counter(
            "radishtray_rejected_input",
            "Rejected input by listener and reason.",
            ["listener", "reason"],
            registry=registry,
        )
        self.connections = Counter(
            "radishtray_node_connections_rejected",
            "Node connections ended by this node, by reason.",
            ["reason"],
            registry=registry,
        )
        self._refusal_counters = {
            reason: self.refusals.labels(reason.value, reason.family.value)
            for reason in RefusalReason
        }
        for reason in RefusalReason:
            self.retries.labels(reason.value)
            self.refusals_delivered.labels(reason.value, reason.family.value)
        for denial in RetryDenial:
            self.retry_denials.labels(denial.value)

    def refused(self, reason: RefusalReason) -> None:
        """Counts a refusal that this node decided."""
        self._refusal_counters[reason].inc()

    def delivered(self, reason: RefusalReason) -> None:
        """Counts a refusal that is sent to a caller."""
        self.refusals_delivered.labels(reason.value, reason.family.value).inc()

    def stage(self, name: str) -> StageTimer:
        """Returns the timer of a stage, created on first use."""
        histogram = self._latencies.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self._latencies.histograms[name] = histogram
        timer = StageTimer(histogram)
        self._latencies.timers.append(timer)
        return timer

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Exports a value that is read at each scrape."""
        self._gauges.sources[name] = (text, read)

    def exposition(self) -> bytes:
        """Returns all metrics in the text exposition format."""
        return bytes(generate_latest(self._registry))
