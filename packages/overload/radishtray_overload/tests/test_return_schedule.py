"""Retry-After of refused requests.

Guards against callers that return into the peak that refused them, that return
together, or that are told to wait longer than they do.
"""

import random
from collections.abc import Iterable

import pytest

from radishtray_overload import MIN_RETRY_AFTER_S, ReturnSchedule
from radishtray_state import ManualClock

TARGET_S = 1.2
LATENCY_S = 0.2


class Bench:
    """A schedule and the outcomes that led to its state."""

    def __init__(self) -> None:
        """Starts without outcomes."""
        self.clock = ManualClock()
        self.schedule = ReturnSchedule(self.clock, random.Random(1), 0.15)

    def play(self, shed_shares: Iterable[float]) -> None:
        """Records 20 outcomes in each 0.1 s, with the given shed shares."""
        for share in shed_shares:
            self.clock.advance(0.1)
            for number in range(20):
                is_shed = number < share * 20
                latency_s = None if is_shed else LATENCY_S
                self.schedule.record("r", is_shed=is_shed, latency_s=latency_s)

    def delays(self, left_s: float = 5.0, target_s: float = TARGET_S) -> range:
        """Returns the range of 200 delays in milliseconds."""
        drawn = [
            1000 * self.schedule.retry_after_s("r", left_s, 0.0, target_s)
            for _ in range(200)
        ]
        return range(int(min(drawn)), int(max(drawn)) + 1)


def test_delays_are_as_usual_without_knowledge() -> None:
    delays = Bench().delays()
    assert 300 <= delays.start <= 320
    assert 980 <= delays.stop <= 1001


def test_a_request_returns_in_time_for_its_target_if_the_peak_ends() -> None:
    bench = Bench()
    bench.play([0.0] * 10 + [0.6, 0.6, 0.5, 0.5, 0.4, 0.3, 0.1, 0.0, 0.0, 0.0])
    delays = bench.delays()
    assert delays.stop <= 1000 * (TARGET_S - LATENCY_S) + 1


def test_a_request_returns_late_in_a_peak_of_which_no_end_is_in_sight() -> None:
    bench = Bench()
    bench.play([0.0] * 10 + [0.6] * 10)
    assert bench.delays().start >= 1000 * 1.2


def test_the_usual_length_of_peaks_is_learned() -> None:
    """Guards against returns just before the end of a peak."""
    bench = Bench()
    for _ in range(3):
        bench.play([0.6] * 20 + [0.0] * 30)
    bench.play([0.6] * 10)
    early = bench.delays()
    bench.play([0.6] * 7)
    late = bench.delays()
    assert early.start > late.start
    assert 1000 * 0.6 <= early.start <= 1000 * 1.3


@pytest.mark.parametrize("left_s", [5.0, 1.2, 0.3, 0.0, -1.0])
@pytest.mark.parametrize("share", [0.0, 0.6])
def test_a_caller_waits_for_at_most_a_third_of_its_time(
    left_s: float, share: float
) -> None:
    bench = Bench()
    bench.play([share] * 20)
    delays = bench.delays(left_s)
    assert delays.start >= 0
    # The range ends above the highest delay.
    assert delays.stop <= max(0.0, 1000 * left_s / 3) + 1


def test_returns_are_spread() -> None:
    """Guards against a second peak by requests that return together."""
    bench = Bench()
    bench.play([0.0] * 10 + [0.6] * 10)
    for left_s in (5.0, 2.0):
        delays = bench.delays(left_s)
        assert len(delays) >= 1000 * 0.25


def test_a_delay_is_not_below_the_shortest_one() -> None:
    """Guards against returns that are not recognised as such."""
    bench = Bench()
    bench.play([0.1] * 20)
    assert bench.delays().start >= 1000 * MIN_RETRY_AFTER_S


def test_routes_are_bounded_and_forgotten() -> None:
    bench = Bench()
    for number in range(1000):
        bench.schedule.record(f"r{number}", is_shed=False, latency_s=0.1)
    assert bench.schedule.usual_latency_s("r0") == 0.1
    assert bench.schedule.usual_latency_s("r999") == 0.0
    bench.schedule.forget("r0")
    assert bench.schedule.usual_latency_s("r0") == 0.0
