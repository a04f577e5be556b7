"""Limits how often requests are sent again to the upstreams of a service.

The limit holds for the whole fleet. It is a ratio of repeats to requests in a
sliding window, plus a fixed allowance.
"""

from radishtray_state._clock import Clock

# Share of the fleet's bound that the nodes grant. The rest is reserved for
# calls that repeated runs make further down the chain: they are counted on the
# node where they are made, which is not the node that granted the repeat.
_GRANTED_SHARE = 0.3
_BUCKET_COUNT = 20
# Complete buckets whose events, with those of the newest one, make the rate.
_RATE_BUCKETS = 2


def validate_repeat_bound(ratio: float, slack: float, window_s: float) -> None:
    """Validates a bound on repeats.

    Args:
        ratio: Repeats allowed per request.
        slack: Repeats allowed in a window without requests.
        window_s: Length of the window in seconds.

    Raises:
        ValueError: If the ratio or the slack is negative or the window is not
            positive.
    """
    if not (ratio >= 0 and slack >= 0 and window_s > 0):
        raise ValueError(
            "a bound on repeats needs a ratio and a slack of at least 0 and a"
            " positive window"
        )


class SlidingWindowCounter:
    """Counts the events of a sliding window, in buckets of equal length.

    The events of the window before it are kept as well.
    """

    __slots__ = ("_bucket_s", "_counts", "_newest", "_total")

    def __init__(self, window_s: float) -> None:
        """Starts without events.

        Args:
            window_s: Length of the window in seconds.
        """
        # Buckets of the window and of the one before it, as a ring.
        self._counts = [0] * (2 * _BUCKET_COUNT)
        self._newest = 0
        self._total = 0
        # The oldest bucket is only partly in the window, so the buckets are
        # made long enough that all but one of them cover the whole window.
        self._bucket_s = window_s / (_BUCKET_COUNT - 1)

    def _advance_to(self, now_s: float) -> None:
        """Moves the window forward and drops the buckets that it leaves."""
        bucket = int(now_s / self._bucket_s)
        if bucket <= self._newest:
            return
        size = len(self._counts)
        for new in range(self._newest + 1, bucket + 1)[-size:]:
            self._total -= self._counts[(new - _BUCKET_COUNT) % size]
            self._counts[new % size] = 0
        self._newest = bucket

    def add(self, now_s: float) -> None:
        """Counts one event at a monotonic time."""
        self._advance_to(now_s)
        self._counts[self._newest % len(self._counts)] += 1
        self._total += 1

    def total(self, now_s: float) -> int:
        """Returns the events in the window that ends at a monotonic time."""
        self._advance_to(now_s)
        return self._total

    def peak_total(self, now_s: float) -> int:
        """Returns the most events in one of three windows.

        They are the window that ends at a monotonic time, the one before it and
        the one half a window before it.
        """
        current = self.total(now_s)
        return max(
            current,
            self._total_before(_BUCKET_COUNT // 2),
            self._total_before(_BUCKET_COUNT),
        )

    def rate_per_s(self, now_s: float) -> float:
        """Returns the events per second in the newest buckets."""
        self._advance_to(now_s)
        first = self._newest - _RATE_BUCKETS
        events = sum(
            self._counts[bucket % len(self._counts)]
            for bucket in range(first, self._newest + 1)
        )
        return events / max(self._bucket_s, now_s - first * self._bucket_s)

    def _total_before(self, buckets: int) -> int:
        """Returns the events in the window that ended some buckets ago."""
        end = self._newest - buckets
        size = len(self._counts)
        return sum(
            self._counts[bucket % size]
            for bucket in range(end - _BUCKET_COUNT + 1, end + 1)
        )


class ArrivalBudget:
    """Grants repeats: sends of a request to another upstream of its service.

    In each window the fleet may make `ratio` repeats per request plus `slack`
    repeats, for each service. Each node applies the ratio to its own requests
    and takes an equal part of the slack, so nodes need not exchange messages.

    Attributes:
        node_count: Nodes that share the slack. A node that sees only a part of
            the fleet would take too large a part, so the owner sets the largest
            number seen recently.
    """

    __slots__ = (
        "_clock",
        "_ratio",
        "_repeats",
        "_requests",
        "_slack",
        "_window_s",
        "node_count",
    )

    def __init__(
        self, clock: Clock, ratio: float, slack: float, window_s: float
    ) -> None:
        """Starts with one node and empty windows.

        Args:
            clock: Time source.
            ratio: Repeats allowed per request.
            slack: Repeats allowed to the whole fleet in a window without
                requests.
            window_s: Length of the window in seconds.

        Raises:
            ValueError: If the ratio or the slack is negative or the window is
                not positive.
        """
        validate_repeat_bound(ratio, slack, window_s)
        self._clock = clock
        self._ratio = ratio * _GRANTED_SHARE
        self._slack = slack * _GRANTED_SHARE
        self._window_s = window_s
        self._requests: dict[str, SlidingWindowCounter] = {}
        self._repeats: dict[str, SlidingWindowCounter] = {}
        self.node_count = 1

    def _counter(
        self, counters: dict[str, SlidingWindowCounter], service: str
    ) -> SlidingWindowCounter:
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = SlidingWindowCounter(self._window_s)
        return counter

    def count_request(self, service: str) -> None:
        """Counts the first send of a request for a service."""
        now_s = self._clock.monotonic()
        self._counter(self._requests, service).add(now_s)

    def count_inherited_repeat(self, service: str) -> None:
        """Counts a call that a repeated run makes.

        It uses up the budget but is not limited by it.
        """
        now_s = self._clock.monotonic()
        self._counter(self._repeats, service).add(now_s)

    def try_take(self, service: str) -> bool:
        """Takes one repeat for a service and returns whether one was left."""
        now_s = self._clock.monotonic()
        requests = self._counter(self._requests, service).total(now_s)
        repeats = self._counter(self._repeats, service)
        allowed = self._ratio * requests + self._slack / self.node_count
        if repeats.total(now_s) + 1 > allowed:
            return False
        repeats.add(now_s)
        return True
