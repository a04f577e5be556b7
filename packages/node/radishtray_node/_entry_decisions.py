"""Decisions under load at the entry: wires `radishtray_overload` to routes.

Without the feature of a decision, requests are handled as without this module.
"""

import random
from collections.abc import Collection

from radishtray_node._call_result import CallResult
from radishtray_node._entry_queue import EntryQueue
from radishtray_node._entry_report import EntryReport
from radishtray_node._features import Feature
from radishtray_node._metrics import Metrics
from radishtray_node._service_uses import add_call_uses
from radishtray_node._timers import TimerWheel
from radishtray_overload import (
    EntryOrder,
    ReturnDetector,
    ReturnSchedule,
    RouteCosts,
)
from radishtray_protocol import Route, RouteTable
from radishtray_state import (
    FIRST_LEVELS,
    Clock,
    ParentRequest,
    RefusalReason,
)

# Refusals for lack of capacity, after which a request may soon be served.
_CAPACITY_REASONS = frozenset(
    (
        RefusalReason.SHED,
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE_EXPECTED,
        RefusalReason.DEADLINE_QUEUED,
        RefusalReason.UPSTREAM_BUSY,
    )
)
# Share of shed requests of a route with which a returning request is likely to
# be admitted. With the entry order, returns have the highest quarter of a band.
_ADMITTED_SHARE = 0.15
_ADMITTED_SHARE_IN_ORDER = 0.5


class EntryDecisions:
    """Levels and Retry-After of first requests.

    Attributes:
        costs: Costs of routes and fill of scarce services.
        order: Draws levels; None if the feature is off.
        schedule: Chooses Retry-After; None if the feature is off.
        report: Counts what is decided.
        queue: Requests that wait; None if the feature is off.
    """

    __slots__ = (
        "_returns",
        "_rng",
        "_routes",
        "costs",
        "order",
        "queue",
        "report",
        "schedule",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        features: Collection[Feature],
        metrics: Metrics,
        timers: TimerWheel,
    ) -> None:
        """Starts without knowledge.

        Args:
            clock: Time source.
            rng: Source of levels and jitter.
            features: Decisions that are switched on.
            metrics: Metrics of this node.
            timers: Timers of waiting requests.
        """
        self.queue = (
            EntryQueue(clock, timers, metrics)
            if Feature.ENTRY_WAIT in features
            else None
        )
        self._rng = rng
        self._routes: dict[str, Route] = {}
        self._returns = ReturnDetector(clock)
        self.costs = RouteCosts(clock)
        self.order = (
            EntryOrder(clock, rng, self.costs, self._returns)
            if Feature.ENTRY_ORDER in features
            else None
        )
        self.schedule = (
            ReturnSchedule(
                clock,
                rng,
                _ADMITTED_SHARE_IN_ORDER if self.order else _ADMITTED_SHARE,
            )
            if Feature.RETURN_SCHEDULE in features
            else None
        )
        self.report = (
            EntryReport(clock, metrics, self.costs)
            if self.order or self.schedule or self.queue
            else None
        )

    def apply(self, table: RouteTable) -> None:
        """Forgets the routes that a new configuration changes or removes."""
        routes = {route.name: route for route in table.routes}
        if self.report is not None:
            self.report.apply(routes)
        for name, route in self._routes.items():
            changed = routes.get(name)
            if changed is None or _content(changed) != _content(route):
                self.costs.forget(name)
                self._returns.forget(name)
                if self.order is not None:
                    self.order.forget(name)
                if self.schedule is not None:
                    self.schedule.forget(name)
                if self.queue is not None:
                    self.queue.wait.forget(name)
        self._routes = routes

    def draw_level(
        self, route: Route, service: str, priority_class: int, budget_s: float
    ) -> int:
        """Returns the level of a first request.

        Args:
            route: Route of the request.
            service: Service that the request is sent to.
            priority_class: Priority class of the request.
            budget_s: Time that the request states to have left, in seconds.
        """
        if self.order is None:
            return self._rng.randrange(FIRST_LEVELS)
        return self.order.draw_level(
            route.name, service, priority_class, budget_s
        )

    def record(
        self,
        route: Route,
        parent: ParentRequest | None,
        result: CallResult,
        held_s: float,
    ) -> None:
        """Records the result of a request.

        Args:
            route: Route of the request.
            parent: The run that made the request; None for a first request.
            result: The result.
            held_s: Seconds from the arrival of the request to its result.
        """
        if parent is not None:
            if result.service_uses:
                add_call_uses(parent, result.service_uses)
            return
        refusal = result.refusal
        is_served = refusal is None and not result.is_server_error
        if self.order is not None and is_served:
            # The calls of a failed request are not complete.
            self.costs.record(route.name, result.service_uses)
        if self.schedule is not None and (
            is_served or refusal in _CAPACITY_REASONS
        ):
            self.schedule.record(
                route.name,
                is_shed=not is_served,
                latency_s=held_s if is_served else None,
            )
        if self.report is not None:
            self.report.count(route.name, refusal)

    def record_latency(self, route: Route, latency_s: float) -> None:
        """Records the time from the sending of a request to its answer."""
        if self.queue is not None:
            self.queue.wait.record_latency(route.name, latency_s)

    def retry_after_s(
        self,
        route: Route,
        reason: RefusalReason,
        budget_s: float,
        left_s: float,
    ) -> float | None:
        """Returns the Retry-After of a refusal; None for the usual one.

        Args:
            route: Route of the request.
            reason: Why the request was refused.
            budget_s: Time that the request stated to have left.
            left_s: What is left of it, in seconds.
        """
        if self.schedule is None or reason not in _CAPACITY_REASONS:
            return None
        held_s = max(0.0, budget_s - left_s)
        return self.schedule.retry_after_s(
            route.name,
            left_s,
            self._returns.elapsed_s(route.name, budget_s) + held_s,
            route.target_latency_s,
        )


def _content(route: Route) -> tuple[object, ...]:
    """Returns all settings of a route in a form that can be compared."""
    return (
        *(getattr(route, name) for name in Route.__slots__ if name != "splits"),
        *((split.service, split.weight) for split in route.splits),
    )
