"""Tests of the order of organisations' requests."""

from itertools import pairwise
from random import Random

from radishtray_organisations import draw_request_level


def _levels(route_class: int, *, is_regular: bool) -> set[int]:
    rng = Random(1)
    return {
        draw_request_level(rng, route_class, is_regular=is_regular)
        for _ in range(200)
    }


def test_excess_gives_way_before_the_route_decides() -> None:
    """Guards against an organisation's excess ahead of others' usual load."""
    order = [
        _levels(route_class, is_regular=is_regular)
        for is_regular in (False, True)
        for route_class in range(4)
    ]
    for lower, higher in pairwise(order):
        assert max(lower) < min(higher)
    assert min(order[0]) == 0
    assert max(order[-1]) == 31
