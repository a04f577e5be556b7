"""Arrival budget: the bound on repeated arrivals at a service.

Guards against a fleet whose nodes together grant more repeats in some window
than the bound allows.
"""

import random

import pytest

from radishtray_state import ArrivalBudget, ManualClock

RATIO, SLACK, WINDOW_S = 0.2, 48.0, 10.0


def build_budget(clock: ManualClock, nodes: int) -> ArrivalBudget:
    budget = ArrivalBudget(clock, RATIO, SLACK, WINDOW_S)
    budget.node_count = nodes
    return budget


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("nodes", [1, 4, 13])
def test_no_window_has_more_repeats_than_the_fleet_may_make(
    seed: int, nodes: int
) -> None:
    clock = ManualClock()
    rng = random.Random(seed)
    budgets = [build_budget(clock, nodes) for _ in range(nodes)]
    requests: list[float] = []
    repeats: list[float] = []
    for _ in range(3000):
        clock.advance(rng.expovariate(80))
        budget = rng.choice(budgets)
        budget.count_request("s")
        requests.append(clock.monotonic())
        if rng.random() < 0.7 and budget.try_take("s"):
            repeats.append(clock.monotonic())
    assert repeats
    for end in repeats:
        repeat_count = sum(end - WINDOW_S < at <= end for at in repeats)
        request_count = sum(end - WINDOW_S < at <= end for at in requests)
        assert repeat_count <= RATIO * request_count + SLACK


def test_inherited_repeats_use_up_the_budget() -> None:
    clock = ManualClock()
    budget = build_budget(clock, 13)
    for _ in range(100):
        budget.count_request("s")
        budget.count_inherited_repeat("s")
    assert not budget.try_take("s")


def test_services_have_budgets_of_their_own() -> None:
    budget = build_budget(ManualClock(), 1)
    while budget.try_take("a"):
        pass
    assert budget.try_take("b")


def test_repeats_are_allowed_again_after_the_window() -> None:
    clock = ManualClock()
    budget = build_budget(clock, 1)
    while budget.try_take("s"):
        pass
    clock.advance(WINDOW_S + 1)
    assert budget.try_take("s")


@pytest.mark.parametrize(
    "arguments", [(-0.1, 1.0, 1.0), (0.1, -1.0, 1.0), (0.1, 1.0, 0.0)]
)
def test_bounds_out_of_range_are_rejected(
    arguments: tuple[float, float, float],
) -> None:
    with pytest.raises(ValueError, match="positive"):
        ArrivalBudget(ManualClock(), *arguments)
