"""Guards against timers that are lost when the event loop is busy."""

from typing import Any

import pytest

from radishtray_node._timers import TimerWheel
from radishtray_testing.memory_network import MemoryNetwork

# For each case: the delays, the delays whose callback starts another timer of
# 0.5 s, and how long the event loop is busy at first.
CASES = {
    "in_time": ((0.05, 0.08, 0.3), (), 0.0),
    "busy_loop": ((0.05, 0.08, 0.3), (), 0.2),
    "timer_in_callback": ((0.05, 0.08, 0.3), (0.05,), 0.0),
    "timer_in_callback_of_busy_loop": ((0.05, 0.08, 0.3), (0.05,), 0.2),
    "at_once": ((0.0, -1.0), (0.0,), 0.0),
}


@pytest.mark.parametrize("name", CASES)
def test_every_timer_runs_once(name: str) -> None:
    delays, delays_starting_timers, busy_s = CASES[name]
    network = MemoryNetwork()
    wheel = TimerWheel(network)
    ran: list[float] = []

    def run(delay_s: float) -> None:
        ran.append(delay_s)
        if delay_s in delays_starting_timers:
            wheel.call_later(0.5, lambda: ran.append(0.5))

    for delay in delays:
        wheel.call_later(delay, lambda delay=delay: run(delay))
    network.advance(busy_s)
    network.run(2)
    assert sorted(ran) == sorted(
        [*delays, *(0.5 for _ in delays_starting_timers)]
    )
    assert not network.getDelayedCalls(), (
        "an empty wheel must not schedule a wake-up"
    )


def test_a_cancelled_timer_does_not_run() -> None:
    network = MemoryNetwork()
    wheel = TimerWheel(network)
    wheel.call_later(0.1, lambda: pytest.fail("ran")).cancel()
    network.run(1)


def test_a_cancelled_timer_does_not_wake_the_loop() -> None:
    """Cancelled deadlines woke the event loop 100 times a second.

    This happened while requests ran, since each tick woke the loop even if all
    of its timers had been cancelled.
    """
    network = MemoryNetwork()
    wheel = TimerWheel(network)
    wakes = 0

    def counted(*arguments: Any) -> Any:
        nonlocal wakes
        wakes += 1
        return call_later(*arguments)

    call_later = network.callLater
    network.callLater = counted  # type: ignore[method-assign]
    for _ in range(200):
        wheel.call_later(1.0, lambda: pytest.fail("ran")).cancel()
        network.run(0.01)
    assert wakes <= 4
