"""Decisions under load at the entry: wires `radishtray_overload` to routes.

Without the feature of a decision, requests are handled as without this module.
"""

import random
from collections.abc import Collection

from radishtray_node._call_result import CallResult
from radishtray_node._features import Feature
from radishtray_node._service_uses import add_call_uses
from radishtray_overload import EntryOrder, ReturnDetector, RouteCosts
from radishtray_protocol import Route, RouteTable
from radishtray_state import FIRST_LEVELS, Clock, ParentRequest


class EntryDecisions:
    """Levels of first requests, from what is known of costs.

    Attributes:
        costs: Costs of routes and fill of scarce services.
        order: Draws levels; None if the feature is off.
    """

    __slots__ = ("_returns", "_rng", "_routes", "costs", "order")

    def __init__(
        self, clock: Clock, rng: random.Random, features: Collection[Feature]
    ) -> None:
        """Starts without knowledge.

        Args:
            clock: Time source.
            rng: Source of levels and jitter.
            features: Decisions that are switched on.
        """
        self._rng = rng
        self._routes: dict[str, Route] = {}
        self._returns = ReturnDetector(clock)
        self.costs = RouteCosts(clock)
        self.order = (
            EntryOrder(clock, rng, self.costs, self._returns)
            if Feature.ENTRY_ORDER in features
            else None
        )

    def apply(self, table: RouteTable) -> None:
        """Forgets the routes that a new configuration changes or removes."""
        routes = {route.name: route for route in table.routes}
        for name, route in self._routes.items():
            changed = routes.get(name)
            if changed is None or _content(changed) != _content(route):
                self.costs.forget(name)
                self._returns.forget(name)
                if self.order is not None:
                    self.order.forget(name)
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
        self, route: Route, parent: ParentRequest | None, result: CallResult
    ) -> None:
        """Records the result of a request.

        Args:
            route: Route of the request.
            parent: The run that made the request; None for a first request.
            result: The result.
        """
        if parent is not None:
            if result.service_uses:
                add_call_uses(parent, result.service_uses)
        elif result.refusal is None and not result.is_server_error:
            # The calls of a failed request are not complete.
            self.costs.record(route.name, result.service_uses)


def _content(route: Route) -> tuple[object, ...]:
    """Returns all settings of a route in a form that can be compared."""
    return (
        *(getattr(route, name) for name in Route.__slots__ if name != "splits"),
        *((split.service, split.weight) for split in route.splits),
    )
