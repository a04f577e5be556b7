"""When a refused request should come again.

A caller retries once and waits for at most a third of the time that it has
left, so a request that is refused a second time is lost. It should return when
it is expected to be admitted: early enough for its latency target if possible,
else later.
"""

import random
from math import inf

from radishtray_overload._entry_order import (
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_MAX_SHARE,
)
from radishtray_state import Clock

# Bounds of the delay while little is known of a route.
_DEFAULT_MAX_S = 1.0
# Subtracted from the time that a caller has left, for the way to the caller.
_TRANSIT_S = 0.02
# A delay below this is too short to be worth the return.
_MIN_SPREAD_S = 0.3
# Part of the longest delay, from its end, over which returns are spread if no
# capacity is expected before.
_LATE_SHARE = 0.25
_BUCKET_S = 0.1
_TREND_BUCKETS = 16
# Buckets of the recent share of shed requests; the rest is compared with it.
_RECENT_BUCKETS = 5
_MIN_ARRIVALS = 4
# Per second; a share that falls more slowly gives no time of an end.
_MIN_SLOPE = 0.05
_PEAK_SHARE = 0.1
_PEAK_GAIN = 0.3
# Time by which the end of a peak is seen later than its start, since the recent
# share contains buckets from before.
_PEAK_LAG_S = 0.4
# While a peak lasts longer than the earlier ones, it is expected to go on for
# this part of its duration.
_OVERTIME_SHARE = 0.25
_LATENCY_GAIN = 0.1
_BOOKED_BUCKETS = 64
_MAX_ROUTES = 256


class _Bucket:
    __slots__ = ("arrived", "index", "shed")

    def __init__(self) -> None:
        self.index = -1
        self.arrived = 0
        self.shed = 0


class _RouteTrend:
    """Share of shed requests of one route over the last 1.6 s, and its peaks.

    Attributes:
        latency_s: Usual latency of served requests; 0 if unknown.
    """

    __slots__ = (
        "_buckets",
        "_estimate",
        "_estimated_at",
        "_mean_peak_s",
        "_peak_seen_s",
        "_peak_started_s",
        "latency_s",
    )

    def __init__(self) -> None:
        self._buckets = [_Bucket() for _ in range(_TREND_BUCKETS)]
        self._estimate: tuple[float, float] | None = None
        self._estimated_at = -1
        self._peak_started_s = inf
        self._peak_seen_s = -inf
        self._mean_peak_s = 0.0
        self.latency_s = 0.0

    def record(self, now_s: float, *, is_shed: bool) -> None:
        index = int(now_s / _BUCKET_S)
        bucket = self._buckets[index % _TREND_BUCKETS]
        if bucket.index != index:
            bucket.index = index
            bucket.arrived = 0
            bucket.shed = 0
            self._update_peak(now_s, index)
        bucket.arrived += 1
        bucket.shed += is_shed

    def add_latency(self, latency_s: float) -> None:
        if self.latency_s:
            self.latency_s += _LATENCY_GAIN * (latency_s - self.latency_s)
        else:
            self.latency_s = latency_s

    def _update_peak(self, now_s: float, index: int) -> None:
        share, _ = self._share(index - _RECENT_BUCKETS, index)
        if share > _PEAK_SHARE:
            if self._peak_started_s == inf:
                self._peak_started_s = now_s
            self._peak_seen_s = now_s
        elif self._peak_started_s != inf:
            duration_s = self._peak_seen_s - self._peak_started_s
            duration_s = max(duration_s - _PEAK_LAG_S, _BUCKET_S)
            self._peak_started_s = inf
            gain = _PEAK_GAIN if self._mean_peak_s else 1.0
            self._mean_peak_s += gain * (duration_s - self._mean_peak_s)

    def _share(self, first: int, end: int) -> tuple[float, int]:
        """Returns the shed share and the arrivals of some buckets."""
        arrived = shed = 0
        for bucket in self._buckets:
            if first <= bucket.index < end:
                arrived += bucket.arrived
                shed += bucket.shed
        return (shed / arrived if arrived else 0.0), arrived

    def estimate(self, now_s: float) -> tuple[float, float] | None:
        """Returns the shed share and its slope per second; None if unknown."""
        index = int(now_s / _BUCKET_S)
        if index != self._estimated_at:
            self._estimated_at = index
            border = index + 1 - _RECENT_BUCKETS
            recent, arrived = self._share(border, index + 1)
            before, arrived_before = self._share(
                index + 1 - _TREND_BUCKETS, border
            )
            slope = 0.0
            if arrived_before >= _MIN_ARRIVALS:
                slope = (recent - before) / (_TREND_BUCKETS / 2 * _BUCKET_S)
            known = arrived >= _MIN_ARRIVALS
            self._estimate = (recent, slope) if known else None
        return self._estimate

    def wait_s(self, now_s: float, admitted_share: float) -> float | None:
        """Returns the seconds until enough requests are expected to be served.

        Args:
            now_s: The time.
            admitted_share: Highest share of shed requests with which one that
                returns is still likely to be admitted.

        Returns:
            The time, infinite if no end is in sight; None if too little is
            known.
        """
        estimate = self.estimate(now_s)
        if estimate is None:
            return None
        share, slope = estimate
        if share <= admitted_share:
            return 0.0
        if slope < -_MIN_SLOPE:
            return (share - admitted_share) / -slope
        if not self._mean_peak_s or self._peak_started_s == inf:
            return inf
        age_s = now_s - self._peak_started_s
        return max(self._mean_peak_s - age_s, _OVERTIME_SHARE * age_s)


class ReturnSchedule:
    """Chooses the Retry-After of refused requests."""

    __slots__ = ("_admitted_share", "_booked", "_clock", "_rng", "_trends")

    def __init__(
        self, clock: Clock, rng: random.Random, admitted_share: float
    ) -> None:
        """Starts without knowledge.

        Args:
            clock: Time source.
            rng: Source of the spread.
            admitted_share: Highest share of shed requests of a route with which
                a returning request is still likely to be admitted. It is higher
                if returning requests come before first tries.
        """
        self._clock = clock
        self._rng = rng
        self._admitted_share = admitted_share
        self._trends: dict[str, _RouteTrend] = {}
        # Bucket index and number of returns that are due in it.
        self._booked = [(-1, 0)] * _BOOKED_BUCKETS

    def record(
        self, route: str, *, is_shed: bool, latency_s: float | None = None
    ) -> None:
        """Records the outcome of a first request.

        Args:
            route: Route of the request.
            is_shed: Whether it was refused for lack of capacity.
            latency_s: Its latency in seconds, if it was served.
        """
        trend = self._trends.get(route)
        if trend is None:
            if len(self._trends) >= _MAX_ROUTES:
                return
            trend = self._trends[route] = _RouteTrend()
        trend.record(self._clock.monotonic(), is_shed=is_shed)
        if latency_s is not None:
            trend.add_latency(latency_s)

    def forget(self, route: str) -> None:
        """Forgets a route whose configuration has changed."""
        self._trends.pop(route, None)

    def usual_latency_s(self, route: str) -> float:
        """Returns the usual latency of a route; 0 if it is unknown."""
        trend = self._trends.get(route)
        return trend.latency_s if trend is not None else 0.0

    def retry_after_s(
        self, route: str, left_s: float, elapsed_s: float, target_s: float
    ) -> float:
        """Returns the Retry-After of a refused request, in seconds.

        Args:
            route: Route of the request.
            left_s: Seconds that the caller has left.
            elapsed_s: Seconds since the caller first sent the request.
            target_s: Latency target of the route, in seconds.
        """
        now_s = self._clock.monotonic()
        longest_s = max(0.0, left_s - _TRANSIT_S) * RETRY_AFTER_MAX_SHARE
        shortest_s = min(MIN_RETRY_AFTER_S, longest_s)
        trend = self._trends.get(route)
        wait_s = (
            trend.wait_s(now_s, self._admitted_share)
            if trend is not None
            else None
        )
        if trend is None or wait_s is None:
            low_s, high_s = shortest_s, min(_DEFAULT_MAX_S, longest_s)
        else:
            low_s = max(shortest_s, wait_s)
            in_time_s = target_s - elapsed_s - trend.latency_s
            if low_s >= longest_s:
                low_s = max(shortest_s, longest_s * (1 - _LATE_SHARE))
                high_s = longest_s
            elif low_s < in_time_s:
                high_s = min(in_time_s, longest_s)
            else:
                high_s = longest_s
        if high_s - low_s < _MIN_SPREAD_S:
            high_s = min(longest_s, low_s + _MIN_SPREAD_S)
            low_s = max(shortest_s, high_s - _MIN_SPREAD_S)
        return self._book(now_s, low_s, high_s)

    def _book(self, now_s: float, low_s: float, high_s: float) -> float:
        """Chooses the less booked one of two random times and books it."""
        width_s = high_s - low_s
        first_s = low_s + self._rng.random() * width_s
        second_s = low_s + self._rng.random() * width_s
        if self._booked_at(now_s + second_s) < self._booked_at(now_s + first_s):
            first_s = second_s
        index = int((now_s + first_s) / _BUCKET_S)
        self._booked[index % _BOOKED_BUCKETS] = (
            index,
            self._booked_at(now_s + first_s) + 1,
        )
        return first_s

    def _booked_at(self, at_s: float) -> int:
        index = int(at_s / _BUCKET_S)
        booked_index, count = self._booked[index % _BOOKED_BUCKETS]
        return count if booked_index == index else 0
