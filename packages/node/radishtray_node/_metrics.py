"""Metrics of a node in the Prometheus text exposition format.

Stage latencies are kept in HDR histograms and exported as quantiles.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from radishtray_node._report_rejection import ReportRejection
from radishtray_state import RefusalReason, RetryDenial
from radishtray_transport import ResponseFault

_MIN_DURATION_US = 1
_MAX_DURATION_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
# Nine leading bits resolve 1/256, finer than the histogram's decimal digits.
_SIGNIFICANT_BITS = 9
_QUANTILES = (0.5, 0.9, 0.99, 0.999)


ReadLabelledValues = Callable[[], Iterable[tuple[Sequence[str], float]]]
"""Returns the label values and the value of each series of a gauge."""


class _LatencyCollector(Collector):
    """Exports histograms in microseconds as summaries in seconds."""

    __slots__ = ("histograms", "timers")

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}
        self.timers: list[StageTimer] = []

    def collect(self) -> Iterator[Metric]:
        """Yields count, sum and quantiles of each stage."""
        summaries = SummaryMetricFamily(
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
            summaries.add_metric([stage], count, count * mean_us / 1e6)
            for quantile in _QUANTILES:
                value_us = histogram.get_value_at_percentile(100 * quantile)
                quantiles.add_metric([stage, str(quantile)], value_us / 1e6)
        yield summaries
        yield quantiles


class _GaugeCollector(Collector):
    """Gauges whose values are read at each scrape."""

    __slots__ = ("gauges", "labelled_gauges")

    def __init__(self) -> None:
        self.gauges: dict[str, tuple[str, Callable[[], float]]] = {}
        self.labelled_gauges: dict[
            str, tuple[str, Sequence[str], ReadLabelledValues]
        ] = {}

    def collect(self) -> Iterator[Metric]:
        """Yields the current value of each gauge."""
        for name, (description, read_value) in self.gauges.items():
            yield GaugeMetricFamily(name, description, value=read_value())
        for name, labelled in self.labelled_gauges.items():
            description, labels, read_values = labelled
            family = GaugeMetricFamily(name, description, labels=labels)
            for label_values, value in read_values():
                family.add_metric(label_values, value)
            yield family


class StageTimer:
    """Records the durations of one stage.

    Recording each duration in the histogram took a tenth of the processor time
    of a request. Durations are therefore rounded down to their leading bits and
    counted in a dict, which is added to the histogram at each scrape.
    """

    __slots__ = ("_counts_by_duration_us", "_histogram")

    def __init__(self, histogram: HdrHistogram) -> None:
        """Takes the histogram, in microseconds, that `flush` writes to."""
        self._histogram = histogram
        self._counts_by_duration_us: dict[int, int] = {}

    def record(self, duration_s: float) -> None:
        """Counts one duration, rounded down to its leading bits."""
        duration_us = int(duration_s * 1e6)
        shift = duration_us.bit_length() - _SIGNIFICANT_BITS
        if shift > 0:
            duration_us = duration_us >> shift << shift
        counts = self._counts_by_duration_us
        counts[duration_us] = counts.get(duration_us, 0) + 1

    def flush(self) -> None:
        """Adds the counted durations to the histogram and resets them.

        Durations out of the histogram's range are counted at its bounds.
        """
        counts, self._counts_by_duration_us = self._counts_by_duration_us, {}
        for duration_us, count in counts.items():
            bounded_us = min(
                max(duration_us, _MIN_DURATION_US), _MAX_DURATION_US
            )
            self._histogram.record_value(bounded_us, count)


class Metrics:
    """All metrics of one node.

    Attributes:
        requests: Requests from callers, by kind.
        upstream_calls: Calls made by the upstream.
        first_attempts: First attempts of calls to a node of a service.
        retries: Further attempts, by the reason of the failed one.
        retry_denials: Failed attempts that were not retried, by reason.
        key_redirects: Keyed calls sent to another owner of their slot.
        refusals: Refusals decided by this node, by reason and outcome.
        refusals_delivered: Refusals sent to callers, by reason and outcome.
        rejected_input: Rejected input, by listener and reason.
        rejected_reports: Rejected reports of other writers, by reason.
        rejected_connections: Node connections that this node ended, by
            reason.
        response_faults: Faults in what the upstream sent, by kind.
        mismatched_answers: Answers of nodes that were not delivered because
            they state the id of another request.
        organisation_requests: Requests of organisations, by outcome.
    """

    __slots__ = (
        "_gauge_collector",
        "_latency_collector",
        "_refusal_counters",
        "_registry",
        "first_attempts",
        "key_redirects",
        "mismatched_answers",
        "organisation_requests",
        "refusals",
        "refusals_delivered",
        "rejected_connections",
        "rejected_input",
        "rejected_reports",
        "requests",
        "response_faults",
        "retries",
        "retry_denials",
        "upstream_calls",
    )

    def __init__(self) -> None:
        """Creates the metrics, with a zero series for each known reason."""
        registry = CollectorRegistry()
        self._registry = registry
        self._latency_collector = _LatencyCollector()
        self._gauge_collector = _GaugeCollector()
        registry.register(self._latency_collector)
        registry.register(self._gauge_collector)
        self.requests = Counter(
            "radishtray_requests",
            "Requests from callers.",
            ["kind"],
            registry=registry,
        )
        self.upstream_calls = Counter(
            "radishtray_upstream_calls",
            "Calls made by the upstream.",
            registry=registry,
        )
        self.first_attempts = Counter(
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
        self.rejected_input = Counter(
            "radishtray_rejected_input",
            "Rejected input by listener and reason.",
            ["listener", "reason"],
            registry=registry,
        )
        self.rejected_connections = Counter(
            "radishtray_node_connections_rejected",
            "Node connections ended by this node, by reason.",
            ["reason"],
            registry=registry,
        )
        self.rejected_reports = Counter(
            "radishtray_reports_rejected",
            "Reports that are not of the node's upstream, by reason.",
            ["reason"],
            registry=registry,
        )
        self.response_faults = Counter(
            "radishtray_upstream_response_faults",
            "Faults in what the upstream sent, by kind.",
            ["fault"],
            registry=registry,
        )
        self.mismatched_answers = Counter(
            "radishtray_answers_mismatched",
            "Answers that were dropped: they state another request's id.",
            registry=registry,
        )
        self.organisation_requests = Counter(
            "radishtray_organisation_requests",
            "Requests of organisations by outcome.",
            ["organisation", "outcome"],
            registry=registry,
        )
        for rejection in ReportRejection:
            self.rejected_reports.labels(rejection.value)
        for fault in ResponseFault:
            self.response_faults.labels(fault.value)
        self._refusal_counters = {
            reason: self.refusals.labels(reason.value, reason.family.value)
            for reason in RefusalReason
        }
        for reason in RefusalReason:
            self.retries.labels(reason.value)
            self.refusals_delivered.labels(reason.value, reason.family.value)
        for denial in RetryDenial:
            self.retry_denials.labels(denial.value)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Counts a refusal decided by this node."""
        self._refusal_counters[reason].inc()

    def count_delivered_refusal(self, reason: RefusalReason) -> None:
        """Counts a refusal sent to a caller."""
        self.refusals_delivered.labels(reason.value, reason.family.value).inc()

    def create_stage_timer(self, stage: str) -> StageTimer:
        """Creates a timer; all timers of a stage share its histogram."""
        histogram = self._latency_collector.histograms.get(stage)
        if histogram is None:
            histogram = HdrHistogram(
                _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
            )
            self._latency_collector.histograms[stage] = histogram
        timer = StageTimer(histogram)
        self._latency_collector.timers.append(timer)
        return timer

    def add_gauge(
        self, name: str, description: str, read_value: Callable[[], float]
    ) -> None:
        """Registers a gauge whose value is read at each scrape."""
        self._gauge_collector.gauges[name] = (description, read_value)

    def add_labelled_gauge(
        self,
        name: str,
        description: str,
        labels: Sequence[str],
        read_values: ReadLabelledValues,
    ) -> None:
        """Registers a gauge with labels, whose series are read at each scrape.

        The caller bounds the number of series.
        """
        self._gauge_collector.labelled_gauges[name] = (
            description,
            labels,
            read_values,
        )

    def exposition(self) -> bytes:
        """Returns all metrics in the text exposition format."""
        return bytes(generate_latest(self._registry))
