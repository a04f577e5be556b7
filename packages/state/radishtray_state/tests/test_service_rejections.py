"""Tests when rejections count as those of a whole service."""

import pytest

from radishtray_state import ManualClock, ServiceRejections

# Name: outcomes of the nodes by their index, 0.02 s apart (1 is a rejection),
# seconds after them, and whether a rejection by the first node is widespread.
CASES: dict[str, tuple[list[tuple[int, int]], float, bool]] = {
    "no outcome": ([], 0.0, False),
    "one rejection": ([(0, 1)], 0.0, False),
    "one upstream rejects all": ([(0, 1)] * 12, 0.0, False),
    "one upstream of two rejects all": ([(0, 1), (1, 0)] * 12, 0.0, False),
    "one upstream of three rejects nearly all": (
        [(0, 1), (1, 0), (2, 0)] * 8 + [(0, 0), (1, 0), (2, 0)],
        0.0,
        False,
    ),
    "one upstream of four rejects twice in a row": (
        [(0, 1), (1, 0), (0, 1)],
        0.0,
        False,
    ),
    "the next upstream rejects as well": ([(1, 1), (0, 1)], 0.0, True),
    "all upstreams reject half": (
        [(0, 1), (1, 0), (0, 0), (1, 1)] * 6,
        0.0,
        True,
    ),
    "all upstreams rejected half": (
        [(0, 1), (1, 0), (0, 0), (1, 1)] * 6,
        3.0,
        False,
    ),
    "all upstreams serve again": (
        [(0, 1), (1, 1)] * 12 + [(0, 0), (1, 0)] * 50,
        0.0,
        False,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_rejections_are_widespread(name: str) -> None:
    outcomes, wait_s, expected = CASES[name]
    clock = ManualClock()
    rejections = ServiceRejections(clock)
    for node, is_rejected in outcomes:
        rejections.record("s", f"n{node}", is_rejected=bool(is_rejected))
        clock.advance(0.02)
    clock.advance(wait_s)
    assert rejections.is_widespread("s", "n0") is expected
    assert not rejections.is_widespread("t", "n0")


def test_nodes_that_have_left_are_dropped() -> None:
    clock = ManualClock()
    rejections = ServiceRejections(clock)
    for number in range(50):
        rejections.record("s", f"n{number}", is_rejected=False)
        clock.advance(1.0)
    assert len(rejections._shares["s"]) < 10
