"""Order in which first requests are shed when a service is short of capacity.

A node admits ranks from its threshold upward, and an entry node sheds requests
below the chain threshold of their route. Which requests are shed therefore
follows from the levels that the entry nodes give. Within a priority class, the
levels 0 to 31 are divided into bands: routes that need less of the scarce
services get a higher band. Within a band the level is random, so that a
threshold inside a band sheds a share of its requests.

The bands depend only on the ratios of the costs, not on the load or on what was
shed last. All entry nodes thus reach the same bands, and a change of the load
does not make them change together.
"""

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from radishtray_overload._route_costs import RouteCost, RouteCosts
from radishtray_state import FIRST_LEVELS, LEVELS_PER_CLASS, Clock

# Shortest Retry-After of a refusal. A request that states less than this much
# less time than others of its route has not waited for it.
MIN_RETRY_AFTER_S = 0.3
# Callers retry only if the Retry-After delay is at most this share of their
# remaining time.
RETRY_AFTER_MAX_SHARE = 1 / 3
# Levels, from the highest, of routes that need none of the scarce services.
_FREE_LEVELS = 4
# Part of a band, from the top, that is kept for returning requests.
_RETURN_SHARE = 0.25
# Routes whose costs differ by less than this factor share a band. Estimates of
# the entry nodes differ by about a tenth.
_SAME_BAND_FACTOR = 1.4
# With more bands, a band would have fewer than five levels, too few for a
# threshold to shed a share of its requests.
_MAX_BANDS = 5
_REFRESH_S = 0.25
# A service that is half busy rejects nothing, so what is taken of it weighs
# little in comparison with one that is nearly full.
_FREE_FILL = 0.4
_FILL_EXPONENT = 3
_MIN_WEIGHT = 1e-4
# Levels by which a request to a scarce service itself is raised. A chain whose
# first request has level L makes its first call there at level L + 8 and its
# later ones at up to 127, as less is left of it. A request that needs little is
# comparable with a chain of which as little is left. In the model, with trees
# of eight calls and 2.5 times the capacity, 0.847 of the direct requests were
# served without raising them, 0.942 with 40 levels and 0.946 with 80, which
# also had more calls run for trees that failed later.
_DIRECT_LEVELS = 8
_DIRECT_LEVELS_BY_SAVING = 40
_BUDGET_WINDOW_S = 30.0
_MAX_ROUTES = 256


class Band(NamedTuple):
    """Levels that the first requests of a route get.

    Attributes:
        low: Lowest level.
        high: Level above the highest one.
        raise_by: Levels added to a request to a scarce service itself, by
            service.
    """

    low: int
    high: int
    raise_by: Mapping[str, int]


class _BudgetWindow:
    """Largest time budget that requests of a route have stated recently."""

    __slots__ = ("_current_s", "_previous_s", "_started_at_s")

    def __init__(self, now_s: float) -> None:
        self._started_at_s = now_s
        self._current_s = 0.0
        self._previous_s = 0.0

    def update(self, now_s: float, budget_s: float) -> float:
        """Adds a budget and returns the largest one."""
        age_s = now_s - self._started_at_s
        if age_s >= _BUDGET_WINDOW_S:
            is_next = age_s < 2 * _BUDGET_WINDOW_S
            self._previous_s = self._current_s if is_next else 0.0
            self._current_s = 0.0
            self._started_at_s = now_s
        self._current_s = max(self._current_s, budget_s)
        return max(self._current_s, self._previous_s)


class ReturnDetector:
    """Recognises requests that return after the Retry-After of a refusal."""

    __slots__ = ("_clock", "_windows")

    def __init__(self, clock: Clock) -> None:
        """Starts without known budgets.

        Args:
            clock: Time source.
        """
        self._clock = clock
        self._windows: dict[str, _BudgetWindow] = {}

    def is_return(self, route: str, budget_s: float) -> bool:
        """Records a request and returns whether it has waited to return.

        Args:
            route: Route of the request.
            budget_s: Time that the request states to have left, in seconds.
        """
        largest_s = self._largest_s(route, budget_s)
        return largest_s - budget_s >= min(
            MIN_RETRY_AFTER_S, largest_s * RETRY_AFTER_MAX_SHARE
        )

    def elapsed_s(self, route: str, budget_s: float) -> float:
        """Returns by how much a budget is below the largest of its route."""
        return self._largest_s(route, budget_s) - budget_s

    def _largest_s(self, route: str, budget_s: float) -> float:
        now_s = self._clock.monotonic()
        window = self._windows.get(route)
        if window is None:
            if len(self._windows) >= _MAX_ROUTES:
                return budget_s
            window = self._windows[route] = _BudgetWindow(now_s)
        return window.update(now_s, budget_s)

    def forget(self, route: str) -> None:
        """Forgets the budgets of a route."""
        self._windows.pop(route, None)


class EntryOrder:
    """Draws the levels of first requests from what their routes need."""

    __slots__ = (
        "_bands",
        "_classes",
        "_clock",
        "_costs",
        "_refresh_at_s",
        "_returns",
        "_rng",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        costs: RouteCosts,
        returns: ReturnDetector,
    ) -> None:
        """Starts with uniform levels.

        Args:
            clock: Time source.
            rng: Source of levels.
            costs: Costs of routes, as known at this node.
            returns: Recognises returning requests.
        """
        self._clock = clock
        self._rng = rng
        self._costs = costs
        self._returns = returns
        # Class in which each route was last seen. Only routes of one class are
        # compared, since classes are in strict order.
        self._classes: dict[str, int] = {}
        self._bands: dict[str, Band] = {}
        self._refresh_at_s = 0.0

    def draw_level(
        self, route: str, service: str, priority_class: int, budget_s: float
    ) -> int:
        """Returns the level of a first request.

        Args:
            route: Route of the request.
            service: Service that the request is sent to.
            priority_class: Priority class of the request.
            budget_s: Time that the request states to have left, in seconds.
        """
        is_return = self._returns.is_return(route, budget_s)
        now_s = self._clock.monotonic()
        if self._classes.get(route) != priority_class:
            self._set_class(route, priority_class)
        if now_s >= self._refresh_at_s:
            self._refresh_at_s = now_s + _REFRESH_S
            self._bands = self._compute_bands()
        band = self._bands.get(route)
        if band is None:
            return self._rng.randrange(FIRST_LEVELS)
        low, high, raise_by = band
        first_return = high - max(1, int((high - low) * _RETURN_SHARE))
        if is_return:
            low = first_return
        else:
            high = first_return
        level = low + int(self._rng.random() * (high - low))
        if raise_by:
            level += raise_by.get(service, 0)
        return min(level, LEVELS_PER_CLASS - 1)

    def _set_class(self, route: str, priority_class: int) -> None:
        if route in self._classes or len(self._classes) < _MAX_ROUTES:
            self._classes[route] = priority_class
            self._refresh_at_s = 0.0

    def forget(self, route: str) -> None:
        """Forgets a route whose configuration has changed."""
        self._classes.pop(route, None)
        self._bands.pop(route, None)
        self._refresh_at_s = 0.0

    def needs(self) -> dict[str, float]:
        """Returns what a request of each known route needs, in seconds.

        Slot time of a service counts by how full the service is.
        """
        fills = self._costs.fills()
        return {
            route: sum(
                cost.mean_s * _weight(fills.get(service, 50))
                for service, cost in costs.items()
            )
            for route, costs in self._costs.costs().items()
        }

    def _compute_bands(self) -> dict[str, Band]:
        needs = self.needs()
        if not needs:
            return {}
        costs = self._costs.costs()
        by_class: dict[int, list[str]] = {}
        for route in needs:
            priority_class = self._classes.get(route)
            if priority_class is not None:
                by_class.setdefault(priority_class, []).append(route)
        bands: dict[str, Band] = {}
        for routes in by_class.values():
            bands.update(_class_bands({r: needs[r] for r in routes}, costs))
        return bands


def _weight(fill_percent: int) -> float:
    pressure = (fill_percent / 100 - _FREE_FILL) / (1 - _FREE_FILL)
    return max(_MIN_WEIGHT, pressure) ** _FILL_EXPONENT


def _class_bands(
    needs: Mapping[str, float], costs: Mapping[str, Mapping[str, RouteCost]]
) -> dict[str, Band]:
    """Returns the bands of the routes of one class."""
    paying = {route: need for route, need in needs.items() if need > 0}
    has_free = len(paying) < len(needs)
    top = FIRST_LEVELS - _FREE_LEVELS if has_free and paying else FIRST_LEVELS
    bands = {
        route: Band(top if paying else 0, FIRST_LEVELS, {})
        for route in needs
        if route not in paying
    }
    groups = _group(paying)
    highest = _highest_costs(costs[route] for route in paying)
    for index, group in enumerate(groups):
        low = top * index // len(groups)
        high = top * (index + 1) // len(groups)
        for route in group:
            raise_by = {
                service: _DIRECT_LEVELS
                + round(
                    _DIRECT_LEVELS_BY_SAVING
                    * (1 - cost.mean_s / highest[service])
                )
                for service, cost in costs[route].items()
                if highest[service] > 0
            }
            bands[route] = Band(low, high, raise_by)
    return bands


def _highest_costs(
    costs: Iterable[Mapping[str, RouteCost]],
) -> dict[str, float]:
    highest: dict[str, float] = {}
    for by_service in costs:
        for service, cost in by_service.items():
            highest[service] = max(highest.get(service, 0.0), cost.mean_s)
    return highest


def _group(needs: Mapping[str, float]) -> list[list[str]]:
    """Groups routes of similar need; the group with the highest comes first."""
    groups: list[list[str]] = []
    start = 0.0
    for route in sorted(needs, key=lambda r: -needs[r]):
        is_similar = needs[route] * _SAME_BAND_FACTOR > start
        if not groups or (not is_similar and len(groups) < _MAX_BANDS):
            groups.append([])
            start = needs[route]
        groups[-1].append(route)
    return groups
