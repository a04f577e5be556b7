"""Observed service times of an upstream."""

from math import exp

_SERVICE_MEMORY_S = 1.0
_QUANTILE_STEP = 0.1
# While others wait, a slot goes to a request that is likely to be answered in
# time. With the median, a queue of equal ranks ran requests that were late, and
# simulated goodput was 0.67 of the capacity (deadline of 10 service times).
_TAIL = 0.9
_MAX_KINDS = 1024


class MovingQuantile:
    """Follows one quantile of positive observations in steps."""

    __slots__ = ("_down", "_up", "value")

    def __init__(self, quantile: float, first: float) -> None:
        self._up = 1 + _QUANTILE_STEP * quantile
        self._down = 1 - _QUANTILE_STEP * (1 - quantile)
        self.value = first

    def add(self, observation: float) -> None:
        self.value *= self._up if observation > self.value else self._down


class ServiceTimes:
    """Observed service times: the recent mean and two quantiles by kind."""

    __slots__ = ("_count", "_medians", "_sum", "_tails")

    def __init__(self) -> None:
        self._sum = 0.0
        self._count = 0.0
        self._medians: dict[str, MovingQuantile] = {}
        self._tails: dict[str, MovingQuantile] = {}

    @property
    def mean(self) -> float:
        """Recent mean in seconds, 0 before the first observation."""
        return self._sum / self._count if self._count else 0.0

    def median(self, kind: str) -> float:
        """Moving median of a kind in seconds, 0 before its first run."""
        found = self._medians.get(kind)
        return found.value if found else 0.0

    def tail(self, kind: str) -> float:
        """Moving 90% quantile of a kind, 0 before its first run."""
        found = self._tails.get(kind)
        return found.value if found else 0.0

    def add(self, kind: str, service_s: float) -> None:
        self._sum += service_s
        self._count += 1.0
        median = self._medians.get(kind)
        if median is not None:
            median.add(service_s)
            self._tails[kind].add(service_s)
        elif len(self._medians) < _MAX_KINDS:
            self._medians[kind] = MovingQuantile(0.5, service_s)
            self._tails[kind] = MovingQuantile(_TAIL, service_s)

    def fade(self, elapsed_s: float) -> None:
        """Lets older observations weigh less in the mean."""
        if self._count < 1.0:
            return
        factor = exp(-elapsed_s / _SERVICE_MEMORY_S)
        self._sum *= factor
        self._count *= factor
