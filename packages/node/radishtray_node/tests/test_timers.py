"""Guards against deadlines that are lost when the loop was busy."""

from typing import Any

import pytest

from radishtray_node._timers import TimerWheel
from radishtray_testing.memory_network import MemoryNetwork

# Name: delays; those whose callback starts another timer of 0.5 s; how long
# the loop is busy first.
CASES = {
    "in_time": ((0.05, 0.08, 0.3), (), 0.0),
    "busy_loop": ((0.05, 0.08, 0.3), (), 0.2),
    "timer_in_callback": ((0.05, 0.08, 0.3), (0.05,), 0.0),
    "timer_in_callback_of_busy_loop": ((0.05, 0.08, 0.3), (0.05,), 0.2),
    "at_once": ((0.0, -1.0), (0.0,), 0.0),
}


@pytest.mark.parametrize("name", CASES)
def test_every_timer_runs_once(name: str) -> None:
    delays, starting, busy_s = CASES[name]
    network = MemoryNetwork()
    wheel = TimerWheel(network)
    ran: list[float] = []

    def run(delay_s: float) -> None:
        ran.append(delay_s)
        if delay_s in starting:
            wheel.after(0.5, lambda: ran.append(0.5))

    for delay in delays:
        wheel.after(delay, lambda delay=delay: run(delay))
    network.advance(busy_s)
    network.run(2)
    assert sorted(ran) == sorted([*delays, *(0.5 for _ in starting)])
    assert not network.getDelayedCalls(), "an empty wheel must not turn"


def test_a_cancelled_timer_does_not_run() -> None:
    network = MemoryNetwork()
    wheel = TimerWheel(network)
    wheel.after(0.1, lambda: pytest.fail("ran")).cancel()
    network.run(1)


def test_a_cancelled_timer_does_not_wake_the_loop() -> None:
    """A node had woken a hundred times a second while requests ran."""
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
        wheel.after(1.0, lambda: pytest.fail("ran")).cancel()
        network.run(0.01)
    assert wakes <= 4
