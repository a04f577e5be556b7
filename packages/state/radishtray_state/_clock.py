"""Time sources that state machines receive at construction."""

import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic time for durations and wall time for issue times."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary origin; never decreases."""
        ...

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch; may jump."""
        ...


class SystemClock:
    """The clocks of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Returns seconds since the boot, with those of a suspended VM.

        The usual monotonic clock stops while a VM is suspended, so that a
        deadline would seem to lie later than it does for the caller.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that only moves when told to, for deterministic runs.

    >>> clock = ManualClock(wall_ms=1_000)
    >>> clock.advance(0.5)
    >>> clock.monotonic(), clock.wall_ms()
    (0.5, 1500)
    """

    __slots__ = ("_monotonic_us", "_wall_offset_ms")

    def __init__(self, wall_ms: int = 1_700_000_000_000) -> None:
        """Starts at monotonic time zero.

        Args:
            wall_ms: Wall time at the start, in milliseconds since the epoch.
        """
        self._monotonic_us = 0
        self._wall_offset_ms = wall_ms

    def monotonic(self) -> float:
        """Returns the seconds advanced so far."""
        return self._monotonic_us / 1e6

    def wall_ms(self) -> int:
        """Returns the simulated wall time in milliseconds."""
        return self._wall_offset_ms + self._monotonic_us // 1000

    def advance(self, seconds: float) -> None:
        """Moves both clocks forward.

        Args:
            seconds: Non-negative duration.

        Raises:
            ValueError: If seconds is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot advance by {seconds} s")
        self._monotonic_us += round(seconds * 1e6)

    def shift_wall(self, milliseconds: int) -> None:
        """Moves only the wall clock, as a time correction does."""
        self._wall_offset_ms += milliseconds
