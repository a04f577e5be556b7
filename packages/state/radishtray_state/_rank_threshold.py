"""The least rank that an upstream admits, from the mix of arriving ranks."""

from bisect import bisect_left
from itertools import accumulate
from math import exp

from radishtray_state._rank_queue import RANK_COUNT

_ARRIVAL_MEMORY_S = 0.3
# Senders refuse early below the threshold, so arrivals there are hidden. Their
# last known rate fades over this time, which lowers the threshold step by step.
# In simulated surges of requests with four calls, 0.5 s refused 7.5% of the
# requests after an answered call, 2 s 5.4%.
_HIDDEN_MEMORY_S = 2.0


class RankThreshold:
    """Finds the rank that admits a wanted rate of the arriving mix."""

    __slots__ = ("_counts", "_rates", "rank")

    def __init__(self) -> None:
        self._counts = [0] * RANK_COUNT
        self._rates = [0.0] * RANK_COUNT
        self.rank = 0

    def count(self, rank: int) -> None:
        self._counts[rank] += 1

    def move(self, elapsed_s: float, wanted: float) -> None:
        """Ends a window.

        Args:
            elapsed_s: Length of the window in seconds.
            wanted: Arrivals per second to admit from now on.
        """
        keep = exp(-elapsed_s / _ARRIVAL_MEMORY_S)
        gain = (1 - keep) / elapsed_s
        cut = self.rank
        rates = [
            rate * keep + count * gain
            for rate, count in zip(self._rates, self._counts, strict=True)
        ]
        fade = exp(-elapsed_s / _HIDDEN_MEMORY_S)
        hidden = [
            max(rate, old * fade)
            for rate, old in zip(rates[:cut], self._rates[:cut], strict=True)
        ]
        self._rates = hidden + rates[cut:]
        self._counts = [0] * RANK_COUNT
        self._place(wanted)

    def _place(self, wanted: float) -> None:
        admitted = list(accumulate(reversed(self._rates)))
        # The rank that crosses the wanted rate is admitted: the queue bounds
        # the excess, while too few arrivals would leave slots empty.
        index = bisect_left(admitted, wanted)
        self.rank = max(0, RANK_COUNT - 1 - index)
