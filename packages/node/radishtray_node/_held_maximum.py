"""The largest recent value of a quantity."""

from radishtray_state import Clock


class HeldMaximum:
    """The largest value of the last seconds, at least 1.

    A smaller value takes effect once the largest one was not seen for that
    long.
    """

    __slots__ = ("_clock", "_held_until_s", "_hold_s", "_value")

    def __init__(self, clock: Clock, hold_s: float) -> None:
        """Starts at 1.

        Args:
            clock: Time source.
            hold_s: Seconds for which the largest value is kept.
        """
        self._clock = clock
        self._hold_s = hold_s
        self._value = 1
        self._held_until_s = 0.0

    def update(self, value: int) -> int:
        """Takes a new value and returns the largest recent one."""
        now_s = self._clock.monotonic()
        if value >= self._value or now_s > self._held_until_s:
            self._value = max(1, value)
            self._held_until_s = now_s + self._hold_s
        return self._value
