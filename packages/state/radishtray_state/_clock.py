"""Clocks that are passed to the state machines."""

import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic clock for durations and wall clock for timestamps."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary origin; never decreases."""
        ...

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch; may jump."""
        ...


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Returns seconds since boot, including those of a suspended VM.

        `CLOCK_MONOTONIC` stops while a VM is suspended, so a deadline measured
        with it would end later than the deadline of the caller.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that advances only by calls, for deterministic runs.

    >>> clock = ManualClock(wall_ms=1_000)
    >>> clock.advance(0.5)
    >>> clock.monotonic(), clock.wall_ms()
    (0.5, 1500)
    """

    __slots__ = ("_monotonic_us", "_wall_offset_ms")

    def __init__(self, wall_ms: int = 1_700_000_000_000) -> None:
        """Initializes the clock at monotonic time 0.

        Args:
            wall_ms: Initial wall time in milliseconds since the Unix epoch.
        """
        self._monotonic_us = 0
        self._wall_offset_ms = wall_ms

    def monotonic(self) -> float:
        """Returns the seconds advanced so far."""
        return self._monotonic_us / 1e6

    def wall_ms(self) -> int:
        """Returns the simulated milliseconds since the Unix epoch."""
        return self._wall_offset_ms + self._monotonic_us // 1000

    def advance(self, seconds: float) -> None:
        """Advances the monotonic and the wall clock.

        Args:
            seconds: Duration, not negative.

        Raises:
            ValueError: If seconds is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot advance a clock by {seconds} s")
        self._monotonic_us += round(seconds * 1e6)

    def shift_wall_clock(self, milliseconds: int) -> None:
        """Shifts only the wall clock, as a clock adjustment does."""
        self._wall_offset_ms += milliseconds
