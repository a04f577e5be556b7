"""Bounds repeated arrivals at the upstreams of a service, over all nodes."""

from radishtray_state._clock import Clock

# Part of the fleet's bound that the nodes use between them. The rest is left
# for calls that repeated runs make further down the chain: they are counted
# where they are made, which is not where the repeat was granted.
_USED_SHARE = 0.3
_BUCKETS = 20


class _SlidingCount:
    """Counts events of the last window in buckets of equal length."""

    __slots__ = ("_bucket", "_counts", "total")

    def __init__(self) -> None:
        self._counts = [0] * _BUCKETS
        self._bucket = 0
        self.total = 0

    def move_to(self, bucket: int) -> None:
        """Drops the buckets that have left the window."""
        for passed in range(self._bucket + 1, bucket + 1)[-_BUCKETS:]:
            self.total -= self._counts[passed % _BUCKETS]
            self._counts[passed % _BUCKETS] = 0
        self._bucket = max(self._bucket, bucket)

    def add(self) -> None:
        """Counts one event in the present bucket."""
        self._counts[self._bucket % _BUCKETS] += 1
        self.total += 1


class ArrivalBudget:
    """Grants sends of a request to a further upstream.

    The fleet may make `ratio` times the requests of a window plus `slack`
    repeats for each service. Each node takes the ratio of its own requests and
    an equal part of the slack, so no messages are needed.

    Attributes:
        nodes: Nodes that share the slack. A node that sees only a part of the
            fleet would take too much, so the owner keeps the largest number
            seen recently.
    """

    __slots__ = (
        "_bucket_s",
        "_clock",
        "_ratio",
        "_repeats",
        "_requests",
        "_slack",
        "nodes",
    )

    def __init__(
        self, clock: Clock, ratio: float, slack: float, window_s: float
    ) -> None:
        """Starts with one node.

        Args:
            clock: Time source.
            ratio: Repeats for each request in the long run.
            slack: Repeats of the whole fleet in a window without requests.
            window_s: Length of the window in seconds.

        Raises:
            ValueError: If an argument is out of range.
        """
        if not (ratio >= 0 and slack >= 0 and window_s > 0):
            raise ValueError("the bounds of an arrival budget are positive")
        self._clock = clock
        self._ratio = ratio * _USED_SHARE
        self._slack = slack * _USED_SHARE
        # One bucket less, since the oldest is only partly in the window.
        self._bucket_s = window_s / (_BUCKETS - 1)
        self._requests: dict[str, _SlidingCount] = {}
        self._repeats: dict[str, _SlidingCount] = {}
        self.nodes = 1

    def _count(
        self, counts: dict[str, _SlidingCount], service: str
    ) -> _SlidingCount:
        found = counts.get(service)
        if found is None:
            found = counts[service] = _SlidingCount()
        found.move_to(int(self._clock.monotonic() / self._bucket_s))
        return found

    def count_request(self, service: str) -> None:
        """Counts the first send of a request for a service."""
        self._count(self._requests, service).add()

    def count_inherited(self, service: str) -> None:
        """Counts a call that a repeated run makes; it can't be refused."""
        self._count(self._repeats, service).add()

    def take(self, service: str) -> bool:
        """Takes one repeat for a service, if the budget has one left."""
        requests = self._count(self._requests, service)
        repeats = self._count(self._repeats, service)
        allowed = self._ratio * requests.total + self._slack / self.nodes
        if repeats.total + 1 > allowed:
            return False
        repeats.add()
        return True
