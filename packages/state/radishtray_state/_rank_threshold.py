"""Adaptive priority threshold: the lowest rank that an upstream admits.

The arrival rate of each rank is estimated as an exponentially weighted moving
average (EWMA). The threshold is set so that the ranks from it upwards add up to
the rate that the upstream can serve.
"""

from bisect import bisect_left
from itertools import accumulate
from math import exp

from radishtray_state._rank_queue import RANK_COUNT

_ARRIVAL_TIME_CONSTANT_S = 0.3
# Senders refuse requests below a threshold that they know, so those arrivals
# are not observed. Their last known rate decays with this time constant, which
# lowers the threshold gradually. In simulated surges of requests that make four
# calls, 0.5 s had 7.5% of the requests refused after one of their calls had
# been answered, 2 s 5.4%.
_HIDDEN_TIME_CONSTANT_S = 2.0


class RankThreshold:
    """Finds the threshold that admits a target rate of the arrivals.

    Attributes:
        rank: Lowest rank that is admitted; 0 admits every request.
    """

    __slots__ = ("_arrival_rates", "_window_arrivals", "rank")

    def __init__(self) -> None:
        self._window_arrivals = [0] * RANK_COUNT
        self._arrival_rates = [0.0] * RANK_COUNT
        self.rank = 0

    def count_arrival(self, rank: int) -> None:
        self._window_arrivals[rank] += 1

    def end_window(self, elapsed_s: float, target_rate: float) -> None:
        """Updates the arrival rates from a window and sets the threshold.

        Args:
            elapsed_s: Length of the window in seconds.
            target_rate: Arrivals per second to admit from now on.
        """
        decay = exp(-elapsed_s / _ARRIVAL_TIME_CONSTANT_S)
        gain = (1 - decay) / elapsed_s
        threshold = self.rank
        rates = [
            rate * decay + count * gain
            for rate, count in zip(
                self._arrival_rates, self._window_arrivals, strict=True
            )
        ]
        hidden_decay = exp(-elapsed_s / _HIDDEN_TIME_CONSTANT_S)
        hidden = [
            max(rate, old * hidden_decay)
            for rate, old in zip(
                rates[:threshold], self._arrival_rates[:threshold], strict=True
            )
        ]
        self._arrival_rates = hidden + rates[threshold:]
        self._window_arrivals = [0] * RANK_COUNT
        self._set_rank(target_rate)

    def _set_rank(self, target_rate: float) -> None:
        admitted_rates = list(accumulate(reversed(self._arrival_rates)))
        # The rank at which the sum reaches the target rate is admitted as a
        # whole: the queue absorbs the excess, while too few arrivals would
        # leave slots empty.
        index = bisect_left(admitted_rates, target_rate)
        self.rank = max(0, RANK_COUNT - 1 - index)
