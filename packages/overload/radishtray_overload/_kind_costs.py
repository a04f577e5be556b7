"""Relative costs of the kinds of requests.

Service times of different kinds are made comparable: each is divided by the
mean service time of its kind. What all kinds have in common, such as a slower
upstream, is kept out of these means and so remains visible in the quotients.
"""

from typing import NamedTuple

# Kinds beyond this number share one mean.
_MAX_KINDS = 256
_OTHERS = "(others)"
# Service times that a mean is taken over; older ones decay.
_KIND_SAMPLES = 200
_LEVEL_SAMPLES = 64
# Quotients before this number of service times do not change the common level,
# since the means of the kinds have not settled.
_SETTLING_SAMPLES = 50
# A single hung request must not determine a mean.
_MAX_QUOTIENT = 20.0
_MIN_SERVICE_S = 1e-6


class _KindMean:
    """Means of one kind, in seconds.

    Attributes:
        runs: Number of runs.
        service_s: Mean service time at the common level 1.
        waited_s: Mean time for which a run waits for calls of its own.
    """

    __slots__ = ("runs", "service_s", "waited_s")

    def __init__(self) -> None:
        self.runs = 0
        self.service_s = 0.0
        self.waited_s = 0.0


class RunCost(NamedTuple):
    """Cost of a run.

    Attributes:
        work_s: Mean service time of its kind, without common influences.
        service_s: Its service time, with the mean waiting time of its kind.
    """

    work_s: float
    service_s: float

    @property
    def quotient(self) -> float:
        """Service time relative to the mean of the kind."""
        return min(self.service_s / self.work_s, _MAX_QUOTIENT)


class KindCosts:
    """Divides service times by the mean of their kind.

    Times for which a run waits for its own calls depend on other services. Each
    service time therefore contains the mean waiting time of the kind in place
    of its own one, so that a slow dependency does not look like an upstream
    that slows down with its concurrency.
    """

    __slots__ = ("_level", "_means", "_runs", "_unit")

    def __init__(self) -> None:
        """Starts without kinds."""
        self._means: dict[str, _KindMean] = {}
        self._level = 1.0
        self._runs = 0
        # Keeps the mean cost of all kinds constant. The common level follows a
        # change of the upstream's speed late, and the means of the kinds would
        # take over a part of each change.
        self._unit = 1.0

    def __len__(self) -> int:
        """Number of kinds with a mean of their own."""
        return len(self._means)

    def add(self, kind: str, service_s: float, waited_s: float) -> RunCost:
        """Adds a run, and returns its cost.

        Args:
            kind: Kind of the request.
            service_s: Time from the start of the run to its end.
            waited_s: Part of it in which calls of the run were open.
        """
        mean = self._find(kind)
        mean.runs += 1
        self._runs += 1
        weight = 1.0 / min(mean.runs, _KIND_SAMPLES)
        mean.waited_s += weight * (waited_s - mean.waited_s)
        own_s = max(service_s - waited_s, _MIN_SERVICE_S)
        comparable_s = own_s + mean.waited_s
        if mean.runs == 1:
            mean.service_s = comparable_s / self._level
        quotient = min(comparable_s / mean.service_s, _MAX_QUOTIENT)
        change = weight * (quotient / self._level - 1.0)
        mean.service_s *= 1.0 + change
        if self._runs > _SETTLING_SAMPLES:
            self._level += (quotient - self._level) / _LEVEL_SAMPLES
            share = mean.runs / self._runs
            self._unit *= (1.0 + change) ** -share
        return RunCost(mean.service_s * self._unit, comparable_s)

    def _find(self, kind: str) -> _KindMean:
        mean = self._means.get(kind)
        if mean is None:
            if len(self._means) >= _MAX_KINDS:
                kind = _OTHERS
            mean = self._means.setdefault(kind, _KindMean())
        return mean
