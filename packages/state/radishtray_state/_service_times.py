"""Estimates of an upstream's service times.

The mean is weighted by age with exponential decay. The quantiles are streaming
estimates by stochastic approximation: each observation moves the estimate up or
down by a fixed factor, so no samples are stored.
"""

from math import exp

_MEAN_TIME_CONSTANT_S = 1.0
_QUANTILE_STEP = 0.1
# While requests are queued, a slot is given only to a request that is likely to
# meet its deadline. With the median in place of this quantile, a queue of equal
# ranks ran requests that missed their deadline, and the simulated goodput was
# 0.67 of the capacity (deadline of 10 service times).
_TAIL_QUANTILE = 0.9
_MAX_KINDS = 1024


class QuantileEstimator:
    """Streaming estimate of one quantile of positive observations.

    Attributes:
        value: Present estimate.
    """

    __slots__ = ("_decrease_factor", "_increase_factor", "value")

    def __init__(self, quantile: float, initial_value: float) -> None:
        self._increase_factor = 1 + _QUANTILE_STEP * quantile
        self._decrease_factor = 1 - _QUANTILE_STEP * (1 - quantile)
        self.value = initial_value

    def add(self, observation: float) -> None:
        self.value *= (
            self._increase_factor
            if observation > self.value
            else self._decrease_factor
        )


class ServiceTimes:
    """Service times: the recent mean, and the median and a tail by kind."""

    __slots__ = ("_medians", "_tails", "_total_weight", "_weighted_sum")

    def __init__(self) -> None:
        self._weighted_sum = 0.0
        self._total_weight = 0.0
        self._medians: dict[str, QuantileEstimator] = {}
        self._tails: dict[str, QuantileEstimator] = {}

    @property
    def mean(self) -> float:
        """Recent mean in seconds, 0 before the first observation."""
        return (
            self._weighted_sum / self._total_weight
            if self._total_weight
            else 0.0
        )

    def median(self, kind: str) -> float:
        """Estimated median of a kind in seconds, 0 before its first run."""
        found = self._medians.get(kind)
        return found.value if found else 0.0

    def tail(self, kind: str) -> float:
        """Estimated 90% quantile in seconds, 0 before the kind's first run."""
        found = self._tails.get(kind)
        return found.value if found else 0.0

    def add(self, kind: str, service_s: float) -> None:
        self._weighted_sum += service_s
        self._total_weight += 1.0
        median = self._medians.get(kind)
        if median is not None:
            median.add(service_s)
            self._tails[kind].add(service_s)
        elif len(self._medians) < _MAX_KINDS:
            self._medians[kind] = QuantileEstimator(0.5, service_s)
            self._tails[kind] = QuantileEstimator(_TAIL_QUANTILE, service_s)

    def decay_mean(self, elapsed_s: float) -> None:
        """Reduces the weight of earlier observations in the mean."""
        if self._total_weight < 1.0:
            return
        factor = exp(-elapsed_s / _MEAN_TIME_CONSTANT_S)
        self._weighted_sum *= factor
        self._total_weight *= factor
