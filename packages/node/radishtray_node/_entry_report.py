"""Metrics and log lines about scarce services and refused first requests."""

import logging
from collections.abc import Collection, Iterable

from radishtray_node._metrics import Metrics
from radishtray_overload import RouteCosts
from radishtray_state import Clock, RefusalReason

_LOG = logging.getLogger(__name__)
_LOG_INTERVAL_S = 1.0
# Routes with a label of their own, in alphabetical order; all others share one
# label.
_MAX_LABELS = 100
_OTHERS = "(others)"
_ANSWERED = "answered"
# Routes named in one log line, those with most refusals.
_LOGGED_ROUTES = 5


class EntryReport:
    """Counts first requests by route and outcome, and exports what is known.

    The registered series are bounded by the routes with labels, the reasons of
    refusals and `MAX_SERVICES`.
    """

    __slots__ = (
        "_clock",
        "_costs",
        "_counts",
        "_labels",
        "_logged_at_s",
        "_refused_since_log",
    )

    def __init__(
        self, clock: Clock, metrics: Metrics, costs: RouteCosts
    ) -> None:
        """Registers the metrics.

        Args:
            clock: Time source.
            metrics: Metrics of this node.
            costs: Costs of routes and fill of scarce services.
        """
        self._clock = clock
        self._costs = costs
        self._labels: dict[str, str] = {}
        self._counts: dict[tuple[str, str], int] = {}
        self._refused_since_log: dict[str, int] = {}
        self._logged_at_s = clock.monotonic() - _LOG_INTERVAL_S
        metrics.add_labelled_gauge(
            "radishtray_scarce_service_fill",
            "Busy share of the slots of a service that is at least half busy.",
            ("service",),
            lambda: [
                ((service,), percent / 100)
                for service, percent in costs.fills().items()
            ],
        )
        metrics.add_labelled_gauge(
            "radishtray_route_slot_seconds",
            "Mean time in slots of a scarce service that a request takes.",
            ("route", "service"),
            self._cost_series,
        )
        metrics.add_labelled_gauge(
            "radishtray_entry_requests",
            "First requests by route and outcome, since the start.",
            ("route", "outcome"),
            lambda: [
                (labels, float(count)) for labels, count in self._counts.items()
            ],
        )

    def _cost_series(self) -> Iterable[tuple[tuple[str, str], float]]:
        for route, costs in self._costs.costs().items():
            if self._label(route) == route:
                for service, cost in costs.items():
                    yield (route, service), cost.mean_s

    def apply(self, routes: Collection[str]) -> None:
        """Applies the routes of a new configuration.

        Counts of routes that have no label any more are added to the others.
        """
        self._labels = {name: name for name in sorted(routes)[:_MAX_LABELS]}
        counts, self._counts = self._counts, {}
        for (route, outcome), count in counts.items():
            key = (self._label(route), outcome)
            self._counts[key] = self._counts.get(key, 0) + count

    def _label(self, route: str) -> str:
        return self._labels.get(route, _OTHERS)

    def count(self, route: str, refusal: RefusalReason | None) -> None:
        """Counts a first request.

        Args:
            route: Route of the request.
            refusal: Why it was refused; None if an upstream answered it.
        """
        outcome = _ANSWERED if refusal is None else refusal.value
        key = (self._label(route), outcome)
        self._counts[key] = self._counts.get(key, 0) + 1
        if refusal is not None and refusal.is_not_run:
            self._count_for_log(key[0])

    def _count_for_log(self, label: str) -> None:
        refused = self._refused_since_log
        refused[label] = refused.get(label, 0) + 1
        now_s = self._clock.monotonic()
        if now_s - self._logged_at_s < _LOG_INTERVAL_S:
            return
        self._logged_at_s = now_s
        self._refused_since_log = {}
        most = sorted(refused, key=lambda r: -refused[r])[:_LOGGED_ROUTES]
        _LOG.info(
            "first requests refused as not run",
            extra={
                "refused": sum(refused.values()),
                "by_route": {route: refused[route] for route in most},
                "fill_percent": self._costs.fills(),
            },
        )
