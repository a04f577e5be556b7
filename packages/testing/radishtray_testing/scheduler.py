"""Event queue of the discrete-event simulations."""

import heapq
import itertools
from collections.abc import Callable

from radishtray_state import ManualClock

Action = Callable[[], None]


class Scheduler:
    """Event queue that runs actions in order of time on a manual clock."""

    __slots__ = ("_events", "_sequence_numbers", "clock", "now_s")

    def __init__(self) -> None:
        """Creates an empty queue at time zero."""
        self.clock = ManualClock()
        # Kept here because the clock rounds to microseconds. An action that
        # was postponed to a given time could otherwise read an earlier time
        # from the clock when it runs.
        self.now_s = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._sequence_numbers = itertools.count()

    def run_at(self, time_s: float, action: Action) -> None:
        """Schedules an action for a time; equal times keep their order."""
        heapq.heappush(
            self._events, (time_s, next(self._sequence_numbers), action)
        )

    def run_after(self, delay_s: float, action: Action) -> None:
        """Schedules an action after a delay."""
        self.run_at(self.now_s + delay_s, action)

    def run_until(self, until_s: float) -> None:
        """Runs all actions that are due up to a time, in order."""
        while self._events and self._events[0][0] <= until_s:
            time_s, _, action = heapq.heappop(self._events)
            self.clock.advance(time_s - self.now_s)
            self.now_s = time_s
            action()
