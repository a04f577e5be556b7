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


class _SlidingWindowCounter:
    """Sliding window counter with buckets of equal length.

    Attributes:
        total: Events in the window.
    """

    __slots__ = ("_counts", "_newest", "total")

    def __init__(self) -> None:
        self._counts = [0] * _BUCKET_COUNT
        self._newest = 0
        self.total = 0

    def advance_to(self, bucket: int) -> None:
        """Moves the window forward and drops the buckets that it leaves."""
        for expired in range(self._newest + 1, bucket + 1)[-_BUCKET_COUNT:]:
            self.total -= self._counts[expired % _BUCKET_COUNT]
            self._counts[expired % _BUCKET_COUNT] = 0
        self._newest = max(self._newest, bucket)

    def add(self) -> None:
        """Counts one event in the current bucket."""
        self._counts[self._newest % _BUCKET_COUNT] += 1
        self.total += 1


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
        "_bucket_s",
        "_clock",
        "_ratio",
        "_repeats",
        "_requests",
        "_slack",
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
        if not (ratio >= 0 and slack >= 0 and window_s > 0):
            raise ValueError(
                "an arrival budget needs a ratio and a slack of at least 0 and"
                " a positive window"
            )
        self._clock = clock
        self._ratio = ratio * _GRANTED_SHARE
        self._slack = slack * _GRANTED_SHARE
        # The oldest bucket is only partly in the window, so the buckets are
        # made long enough that all but one of them cover the whole window.
        self._bucket_s = window_s / (_BUCKET_COUNT - 1)
        self._requests: dict[str, _SlidingWindowCounter] = {}
        self._repeats: dict[str, _SlidingWindowCounter] = {}
        self.node_count = 1

    def _advance_counter(
        self, counters: dict[str, _SlidingWindowCounter], service: str
    ) -> _SlidingWindowCounter:
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = _SlidingWindowCounter()
        counter.advance_to(int(self._clock.monotonic() / self._bucket_s))
        return counter

    def count_request(self, service: str) -> None:
        """Counts the first send of a request for a service."""
        self._advance_counter(self._requests, service).add()

    def count_inherited_repeat(self, service: str) -> None:
        """Counts a call that a repeated run makes.

        It uses up the budget but is not limited by it.
        """
        self._advance_counter(self._repeats, service).add()

    def try_take(self, service: str) -> bool:
        """Takes one repeat for a service and returns whether one was left."""
        requests = self._advance_counter(self._requests, service)
        repeats = self._advance_counter(self._repeats, service)
        allowed = self._ratio * requests.total + self._slack / self.node_count
        if repeats.total + 1 > allowed:
            return False
        repeats.add()
        return True
