"""A discrete model of one upstream behind a concurrency limit.

Requests arrive at random, wait in a bounded queue and run with a service time
that depends on the concurrency at their start and on the time.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from radishtray_overload import LearnedCapacity
from radishtray_state import ObservedRun

SLOTS = 41
USABLE_SLOTS = 38
MAX_QUEUED = 100


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
        name: Its name.
        service_s: Its mean service time at low concurrency.
        waited_s: Time for which a run waits for calls of its own.
        weight: Its relative frequency.
    """

    name: str = "k"
    service_s: float = 0.022
    waited_s: float = 0.0
    weight: float = 1.0


def constant(_now_s: float) -> float:
    return 1.0


def overload(_now_s: float) -> float:
    return 50.0


def steps_of_noise(now_s: float) -> float:
    """Slows down by 2.5 for 0.6 s at a time, every 2.1 s."""
    return 2.5 if now_s % 2.1 > 1.5 else 1.0


@dataclass(slots=True)
class Upstream:
    """Speed of an upstream.

    Attributes:
        knee: Share of the slots above which it slows down.
        slowdown: Factor on the service time above the knee.
        until_s: Time at which the knee goes away.
        speed: Factor on all service times, by time.
        wait: Factor on the time for which runs wait for their calls, by time.
    """

    knee: float = 1.0
    slowdown: float = 1.0
    until_s: float = 1e9
    speed: Callable[[float], float] = constant
    wait: Callable[[float], float] = constant

    def factor(self, concurrency: int, now_s: float) -> float:
        is_above = now_s < self.until_s and concurrency > self.knee * SLOTS
        return self.speed(now_s) * (self.slowdown if is_above else 1.0)

    def best_throughput(self) -> float:
        """Returns the highest concurrency per relative service time."""
        return max(c / self.factor(c, 0.0) for c in range(1, USABLE_SLOTS + 1))


class _Request:
    """One request; its times are drawn at its arrival, alike in all runs."""

    __slots__ = ("arrived_s", "kind", "service_s", "waited_s")

    def __init__(
        self, kind: Kind, arrived_s: float, rng: random.Random
    ) -> None:
        self.kind = kind
        self.arrived_s = arrived_s
        self.service_s = rng.expovariate(1 / kind.service_s)
        self.waited_s = 0.0
        if kind.waited_s:
            self.waited_s = rng.expovariate(1 / kind.waited_s)


@dataclass(slots=True)
class UpstreamRun:
    """Runs requests and records the work that ends in each tenth of a second.

    Attributes:
        upstream: Speed of the upstream.
        kinds: Kinds of requests.
        demand: Arriving work, in concurrent runs at full speed, by time.
        seed: Seed of arrivals and service times.
        is_learning: Whether the limit is learned, or else constant.
        limits: Learned limit at each tenth of a second.
        latencies: Time of arrival and time until the answer.
    """

    upstream: Upstream
    kinds: tuple[Kind, ...] = (Kind(),)
    demand: Callable[[float], float] = overload
    seed: int = 1
    is_learning: bool = True
    limits: list[int] = field(default_factory=list)
    latencies: list[tuple[float, float]] = field(default_factory=list)
    _work: dict[int, float] = field(default_factory=dict)

    def run(self, duration_s: float) -> "UpstreamRun":
        """Runs for a time; returns this run."""
        rng = random.Random(self.seed)
        capacity = LearnedCapacity(USABLE_SLOTS)
        limit = USABLE_SLOTS
        weights = [k.weight for k in self.kinds]
        mean_s = sum(
            k.weight * (k.service_s + k.waited_s) for k in self.kinds
        ) / sum(weights)
        queue: deque[_Request] = deque()
        running: list[tuple[float, int, _Request, ObservedRun, float]] = []
        next_arrival_s = 0.0
        number = 0
        while True:
            ends_s = running[0][0] if running else 1e9
            now_s = min(ends_s, next_arrival_s)
            if now_s >= duration_s:
                return self
            while len(self.limits) <= now_s * 10:
                self.limits.append(capacity.learned)
            if now_s == next_arrival_s:
                rate = self.demand(now_s) / mean_s
                next_arrival_s += rng.expovariate(rate)
                request = _Request(
                    rng.choices(self.kinds, weights)[0], now_s, rng
                )
                if len(queue) < MAX_QUEUED:
                    queue.append(request)
            else:
                _, _, request, run, waited_s = heapq.heappop(running)
                work = request.service_s + request.waited_s
                bucket = int(now_s * 10)
                self._work[bucket] = self._work.get(bucket, 0.0) + work
                self.latencies.append(
                    (request.arrived_s, now_s - request.arrived_s)
                )
                if self.is_learning:
                    limit = capacity.finish(run, now_s, waited_s)
            while queue and len(running) < limit:
                request = queue.popleft()
                concurrency = len(running) + 1
                factor = self.upstream.factor(concurrency, now_s)
                service_s = request.service_s * factor
                waited_s = request.waited_s * self.upstream.wait(now_s)
                number += 1
                heapq.heappush(
                    running,
                    (
                        now_s + service_s + waited_s,
                        number,
                        request,
                        capacity.begin(request.kind.name, concurrency, now_s),
                        waited_s,
                    ),
                )

    def throughput(self, start_s: float, end_s: float) -> float:
        """Returns the work per second, in concurrent runs at full speed."""
        buckets = range(round(start_s * 10), round(end_s * 10))
        return sum(self._work.get(b, 0.0) for b in buckets) / (end_s - start_s)

    def mean_latency_s(self, start_s: float, end_s: float) -> float:
        """Returns the mean latency of the requests that arrived in a time."""
        found = [s for at_s, s in self.latencies if start_s <= at_s < end_s]
        return sum(found) / max(1, len(found))
