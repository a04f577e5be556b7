"""Requests that wait at the entry instead of being shed.

Guards against waits without bounds, against requests that wait until they can
no longer be answered in time, and against a burst as the threshold falls.
"""

from collections.abc import Callable

import pytest

from radishtray_overload import EntryWait, WaitingRequest
from radishtray_overload._entry_wait import MAX_WAITING, MAX_WAITING_BYTES
from radishtray_state import ManualClock

LATENCY_S = 0.2


class Bench:
    """A queue in front of one threshold, with a log of what it decides."""

    def __init__(self) -> None:
        """Learns the latency of route `r` and sets a high threshold."""
        self.clock = ManualClock()
        self.wait = EntryWait(self.clock)
        for _ in range(50):
            self.wait.record_latency("r", LATENCY_S)
        self.threshold = 511
        self.released: list[int] = []
        self.refused: list[int] = []

    def offer(
        self,
        number: int,
        rank: int = 1,
        *,
        left_s: float = 5.0,
        target_s: float = 1.2,
        size_bytes: int = 0,
        route: str = "r",
        is_admitted: Callable[[], bool] | None = None,
    ) -> WaitingRequest | None:
        """Offers a request; returns it if it waits."""
        now_s = self.clock.monotonic()
        request = WaitingRequest(
            route,
            rank,
            size_bytes,
            now_s + left_s,
            now_s + target_s,
            is_admitted or (lambda: rank >= self.threshold),
            lambda: self.released.append(number),
            lambda: self.refused.append(number),
        )
        return request if self.wait.offer(request) else None

    def poll(self, count: int = 1) -> None:
        for _ in range(count):
            self.clock.advance(0.025)
            self.wait.poll()


def test_requests_are_released_in_order_of_rank_and_deadline() -> None:
    bench = Bench()
    bench.offer(0, 1)
    bench.offer(1, 9, target_s=0.1)
    bench.offer(2, 9, left_s=4.0)
    bench.offer(3, 9, left_s=3.0)
    bench.offer(4, 5)
    bench.poll(3)
    assert bench.released == []
    bench.threshold = 2
    bench.poll(8)
    # The target of number 1 can no longer be met.
    assert bench.released == [3, 2, 1, 4]


def test_a_falling_threshold_does_not_release_all_at_once() -> None:
    bench = Bench()
    for number in range(80):
        bench.offer(number)
    bench.threshold = 0
    bench.poll()
    assert len(bench.released) <= 11
    bench.poll(15)
    assert len(bench.released) >= 60


# Time left, and the time after which the request is refused.
WAITS = {"long": (5.0, 0.5), "short": (1.2, 0.24), "usual": (0.3, 0.06)}


@pytest.mark.parametrize("name", WAITS)
def test_a_request_is_refused_at_once_when_it_can_wait_no_longer(
    name: str,
) -> None:
    left_s, wait_s = WAITS[name]
    bench = Bench()
    assert bench.offer(0, left_s=left_s) is not None
    bench.clock.advance(wait_s - 0.01)
    bench.wait.poll()
    assert bench.refused == []
    bench.clock.advance(0.02)
    bench.wait.poll()
    assert (bench.refused, len(bench.wait), bench.wait.waiting_bytes) == (
        [0],
        0,
        0,
    )


def test_a_request_does_not_wait_into_its_usual_latency() -> None:
    bench = Bench()
    assert bench.offer(0, left_s=LATENCY_S) is None
    assert bench.offer(1, left_s=5.0, route="unknown") is None
    assert bench.offer(2, left_s=LATENCY_S + 0.03) is not None
    bench.poll(2)
    assert bench.refused == [2]


def test_number_and_bytes_are_bounded_and_the_lowest_rank_goes_first() -> None:
    bench = Bench()
    for number in range(MAX_WAITING):
        assert bench.offer(number, rank=5) is not None
    assert bench.offer(1000, rank=5) is None
    assert bench.offer(1001, rank=6) is not None
    assert (len(bench.wait), len(bench.refused)) == (MAX_WAITING, 1)
    bench = Bench()
    assert bench.offer(0, size_bytes=MAX_WAITING_BYTES) is None
    for number in range(10):
        bench.offer(number, rank=number, size_bytes=1024 * 1024)
    assert bench.wait.waiting_bytes <= MAX_WAITING_BYTES
    assert len(bench.refused) == 7


def test_a_withdrawn_request_is_neither_released_nor_refused() -> None:
    bench = Bench()
    request = bench.offer(0)
    assert request is not None
    bench.wait.withdraw(request)
    bench.wait.withdraw(request)
    bench.threshold = 0
    bench.poll(30)
    assert (bench.released, bench.refused) == ([], [])
    assert (len(bench.wait), bench.wait.waiting_bytes) == (0, 0)


def test_a_callback_may_withdraw_another_request() -> None:
    bench = Bench()
    requests: list[WaitingRequest | None] = []

    def withdraw_all() -> bool:
        for request in requests:
            assert request is not None
            bench.wait.withdraw(request)
        return True

    requests += [bench.offer(n, is_admitted=withdraw_all) for n in range(2)]
    bench.poll()
    assert (bench.released, bench.refused, len(bench.wait)) == ([], [], 0)


def test_few_requests_wait_while_waits_end_with_refusals() -> None:
    """Guards against refusals that come later for nothing in a long peak."""
    bench = Bench()
    waited = 0
    for number in range(400):
        waited += bench.offer(number) is not None
        bench.poll()
    assert 40 <= waited <= 120
    bench.threshold = 0
    for number in range(600):
        bench.offer(number)
        bench.poll()
    assert bench.offer(0) is not None
