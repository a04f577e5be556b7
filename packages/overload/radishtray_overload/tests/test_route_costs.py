"""Costs of routes: what answers state, and when knowledge is dropped.

Guards against answers that grow at low load, costs that outlive a change of
their route, and tables that grow with what peers send.
"""

import pytest

from radishtray_overload import (
    MAX_SERVICES,
    RouteCosts,
    ServiceUse,
    SlotFill,
    add_uses,
    run_uses,
)
from radishtray_state import ManualClock


def use(slot_ms: int, fill: int = 90, service: str = "scarce") -> ServiceUse:
    return ServiceUse(service, slot_ms * 1000, fill)


def known_costs_ms(costs: RouteCosts) -> dict[str, dict[str, int]]:
    return {
        route: {s: round(cost.mean_s * 1000) for s, cost in by_service.items()}
        for route, by_service in costs.costs().items()
    }


def test_a_run_adds_its_slot_time_to_that_of_its_calls() -> None:
    totals: dict[str, tuple[int, int]] = {}
    for call in (use(20, 60), use(22, 90)):
        add_uses(totals, (call,))
    assert run_uses(totals, "middle", 0.3, 10) == (use(42, 90),)
    assert run_uses(totals, "middle", 0.3, 50) == (
        use(42, 90),
        use(300, 50, "middle"),
    )
    assert run_uses(totals, "scarce", 0.01, 95) == (use(52, 95),)


def test_an_answer_states_nothing_at_low_load() -> None:
    """Guards against bytes that answers carry while nothing is scarce."""
    assert run_uses(None, "s", 0.3, 49) == ()
    assert run_uses({}, "s", 0.3, 49) == ()


def test_the_fill_follows_within_a_second() -> None:
    clock = ManualClock()
    fill = SlotFill(clock)
    percents = []
    for in_flight in [10] * 5 + [0] * 5:
        clock.advance(0.2)
        percents.append(fill.update(in_flight, 10))
    assert percents[1] > 80
    assert percents[6] < 40
    assert fill.update(5, 0) <= 50


def test_mean_and_variance_of_a_route() -> None:
    clock = ManualClock()
    costs = RouteCosts(clock)
    for number in range(200):
        clock.advance(0.05)
        costs.record("lookup", [use(100 if number % 2 else 200)])
    cost = costs.costs()["lookup"]["scarce"]
    assert cost.mean_s == pytest.approx(0.15, rel=0.1)
    assert cost.deviation_s == pytest.approx(0.05, rel=0.2)


def test_an_answer_without_use_counts_only_while_the_service_is_full() -> None:
    """Guards against costs that fall because one of the upstreams is idle."""
    clock = ManualClock()
    costs = RouteCosts(clock)
    for _ in range(20):
        clock.advance(0.1)
        costs.record("lookup", [use(100, 60)])
        costs.record("lookup", [])
        costs.record("export", [])
    assert known_costs_ms(costs) == {"lookup": {"scarce": 100}}
    for _ in range(20):
        clock.advance(0.1)
        costs.record("lookup", [use(100, 95)])
        costs.record("export", [])
    assert known_costs_ms(costs)["export"] == {}


def test_knowledge_expires_without_answers() -> None:
    clock = ManualClock()
    costs = RouteCosts(clock)
    for _ in range(3):
        costs.record("lookup", [use(100)])
    assert (costs.fills(), len(costs.costs())) == ({"scarce": 90}, 1)
    clock.advance(4)
    assert (costs.fills(), len(costs.costs())) == ({}, 1)
    clock.advance(7)
    assert costs.costs() == {}


def test_a_cost_outlives_the_trough_between_two_peaks() -> None:
    clock = ManualClock()
    costs = RouteCosts(clock)
    for _ in range(3):
        costs.record("lookup", [use(100)])
    for _ in range(10):
        clock.advance(1)
        costs.record("lookup", [])
    assert known_costs_ms(costs) == {"lookup": {"scarce": 100}}


def test_a_changed_route_is_forgotten() -> None:
    costs = RouteCosts(ManualClock())
    for route in ("lookup", "approve"):
        for _ in range(3):
            costs.record(route, [use(100)])
    costs.forget("lookup")
    assert list(costs.costs()) == ["approve"]


def test_routes_and_services_are_bounded() -> None:
    """Guards against memory that grows with the names that peers send."""
    clock = ManualClock()
    costs = RouteCosts(clock)
    totals: dict[str, tuple[int, int]] = {}
    for number in range(1000):
        uses = [use(10, service=f"s{number}")]
        add_uses(totals, uses)
        for _ in range(2):
            costs.record(f"r{number}", uses)
            costs.record("r0", uses)
    assert len(totals) == len(costs.fills()) == MAX_SERVICES
    assert len(costs.costs()["r0"]) == MAX_SERVICES
    assert len(costs.costs()) <= 256
    clock.advance(11)
    for _ in range(2):
        costs.record("new", [use(10, service="new")])
    assert known_costs_ms(costs) == {"new": {"new": 10}}
