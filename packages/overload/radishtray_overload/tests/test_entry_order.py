"""Levels of first requests by what their routes need.

Guards against cheap requests that are shed before expensive ones, and against
callers that gain by retrying at once.
"""

import random
from collections.abc import Mapping

import pytest

from radishtray_overload import (
    EntryOrder,
    ReturnDetector,
    RouteCosts,
    ServiceUse,
)
from radishtray_state import FIRST_LEVELS, LEVELS_PER_CLASS, ManualClock

SCRIPT_PLATFORM = {"lookup": 176, "approve": 61, "export": 0}


class Entry:
    """The decisions of one entry node with known costs."""

    def __init__(self, costs_ms: Mapping[str, int], seed: int = 1) -> None:
        """Learns each cost from four answers."""
        self.clock = ManualClock()
        self.costs = RouteCosts(self.clock)
        self.returns = ReturnDetector(self.clock)
        self.order = EntryOrder(
            self.clock, random.Random(seed), self.costs, self.returns
        )
        for _ in range(4):
            self.clock.advance(0.1)
            self.answer(costs_ms)

    def answer(self, costs_ms: Mapping[str, int]) -> None:
        for route, slot_ms in costs_ms.items():
            uses = [ServiceUse("scarce", slot_ms * 1000, 95)] if slot_ms else []
            self.costs.record(route, uses)

    def levels(
        self,
        route: str,
        service: str = "middle",
        priority_class: int = 1,
        budget_s: float = 5.0,
    ) -> range:
        """Returns the range of 300 drawn levels."""
        drawn = [
            self.order.draw_level(route, service, priority_class, budget_s)
            for _ in range(300)
        ]
        return range(min(drawn), max(drawn) + 1)


def learn_classes(entry: Entry, **classes: int) -> None:
    """Draws one level per route, which tells the class of each."""
    for route, priority_class in classes.items():
        entry.order.draw_level(route, "middle", priority_class, 5.0)


def test_levels_are_uniform_without_knowledge() -> None:
    entry = Entry({})
    assert entry.levels("lookup") == range(FIRST_LEVELS)
    entry = Entry(SCRIPT_PLATFORM)
    assert entry.levels("unknown") == range(FIRST_LEVELS)


def test_routes_that_need_less_get_higher_levels() -> None:
    entry = Entry(SCRIPT_PLATFORM)
    learn_classes(entry, lookup=1, approve=1, export=1)
    lookup = entry.levels("lookup")
    approve = entry.levels("approve")
    export = entry.levels("export")
    assert lookup.start == 0
    assert lookup.stop <= approve.start
    assert approve.stop <= export.start
    assert len(lookup) >= 8, "too few levels to shed a share of the requests"


def test_only_routes_of_the_same_class_are_compared() -> None:
    entry = Entry(SCRIPT_PLATFORM)
    learn_classes(entry, lookup=1, approve=2, export=3)
    lookup = entry.levels("lookup", priority_class=1)
    approve = entry.levels("approve", priority_class=2)
    assert lookup.start == approve.start == 0


def test_routes_with_similar_costs_share_a_band() -> None:
    """Guards against an order by noise, which starves one of two routes."""
    entry = Entry({"a": 100, "b": 120})
    learn_classes(entry, a=1, b=1)
    assert entry.levels("a") == entry.levels("b")


def test_a_direct_request_is_comparable_with_calls_of_chains() -> None:
    """Guards against direct requests that the calls of chains squeeze out.

    At the node beside the scarce upstream, a direct request competes with the
    calls of chains, which have levels of 8 and more.
    """
    entry = Entry(SCRIPT_PLATFORM)
    learn_classes(entry, lookup=1, approve=1)
    approve = entry.levels("approve", service="scarce")
    # The first call of any chain is below level 32 + 8. Of such a chain, more
    # is left than an approval needs.
    assert approve.start >= FIRST_LEVELS + 8
    assert approve.stop <= LEVELS_PER_CLASS
    equal = entry.levels("lookup", service="scarce")
    assert 8 <= equal.start <= equal.stop <= FIRST_LEVELS + 8


def test_requests_that_return_come_before_first_tries() -> None:
    entry = Entry(SCRIPT_PLATFORM)
    learn_classes(entry, lookup=1, approve=1)
    first = entry.levels("lookup", budget_s=5.0)
    assert entry.levels("lookup", budget_s=4.99) == first, "retry at once"
    returned = entry.levels("lookup", budget_s=4.6)
    assert first.stop <= returned.start
    assert returned.stop <= entry.levels("approve").start


@pytest.mark.parametrize(("largest_s", "budget_s"), [(5.0, 4.6), (0.6, 0.35)])
def test_returns_are_recognised_by_the_shortest_delay(
    largest_s: float, budget_s: float
) -> None:
    clock = ManualClock()
    returns = ReturnDetector(clock)
    assert not returns.is_return("r", largest_s)
    assert returns.is_return("r", budget_s)
    clock.advance(61)
    assert not returns.is_return("r", budget_s), "the largest has expired"


def test_a_changed_route_gets_uniform_levels_again() -> None:
    entry = Entry(SCRIPT_PLATFORM)
    learn_classes(entry, lookup=1, approve=1)
    entry.costs.forget("approve")
    entry.order.forget("approve")
    assert entry.levels("approve") == range(FIRST_LEVELS)
