"""Guards against timers and durations that follow steps of the wall clock."""

import subprocess
import sys

from radishtray_node._reactor import LoopClock
from radishtray_state import ManualClock

# Steps the wall clock back by an hour while a timer is pending. A callback that
# raises must not stop the event loop.
_SCRIPT = """
import time
from radishtray_node import install_reactor
reactor = install_reactor()
real, fired = time.time, []
def jump():
    time.time = lambda: real() - 3600
reactor.callWhenRunning(jump)
reactor.callLater(0.2, fired.append, "timer")
reactor.callLater(0.4, reactor.stop)
reactor.callLater(0.05, lambda: 1 / 0)
reactor.run()
print(fired, abs(reactor.clock.monotonic() - reactor.seconds()) < 0.001)
"""


def test_the_clock_is_constant_within_an_iteration() -> None:
    source = ManualClock()
    clock = LoopClock(source)
    source.advance(1.5)
    assert clock.monotonic() == 0.0
    clock.refresh()
    assert clock.monotonic() == 1.5
    assert clock.wall_ms() == source.wall_ms()


def test_timers_run_although_the_wall_clock_steps_back() -> None:
    done = subprocess.run(
        [sys.executable, "-c", _SCRIPT],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert done.stdout == "['timer'] True\n"
