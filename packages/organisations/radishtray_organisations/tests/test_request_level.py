"""Tests of the order of organisations' requests."""

from itertools import pairwise

from radishtray_organisations import place_request_level


def _levels(route_class: int, *, is_regular: bool) -> set[int]:
    return {
        place_request_level(level, route_class, is_regular=is_regular)
        for level in range(32)
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


def test_raised_requests_stay_raised() -> None:
    """Guards against requests to a scarce service that fall behind chains."""
    assert place_request_level(31 + 50, 2) == place_request_level(31, 2) + 50
