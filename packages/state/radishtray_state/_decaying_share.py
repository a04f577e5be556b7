"""Share of outcomes of one kind among recent ones, weighted by their age."""

from math import exp

from radishtray_state._clock import Clock

_DECAY_INTERVAL_S = 0.01


class DecayingShare:
    """Counts outcomes and those of one kind, which decay exponentially."""

    __slots__ = (
        "_clock",
        "_decayed_at_s",
        "_hits",
        "_time_constant_s",
        "_total",
    )

    def __init__(self, clock: Clock, time_constant_s: float) -> None:
        """Starts without outcomes.

        Args:
            clock: Time source.
            time_constant_s: Seconds in which counts fall to 1/e.
        """
        self._clock = clock
        self._time_constant_s = time_constant_s
        self._decayed_at_s = clock.monotonic()
        self._hits = 0.0
        self._total = 0.0

    @property
    def hits(self) -> float:
        """Decayed count of the outcomes of the kind."""
        self._decay()
        return self._hits

    @property
    def total(self) -> float:
        """Decayed count of all outcomes."""
        self._decay()
        return self._total

    def record(self, *, is_hit: bool) -> None:
        """Records an outcome and whether it is of the kind."""
        self._decay()
        self._total += 1
        self._hits += is_hit

    def reset(self) -> None:
        """Forgets all outcomes."""
        self._hits = 0.0
        self._total = 0.0

    def _decay(self) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._decayed_at_s < _DECAY_INTERVAL_S:
            return
        factor = exp((self._decayed_at_s - now_s) / self._time_constant_s)
        self._decayed_at_s = now_s
        self._hits *= factor
        self._total *= factor
