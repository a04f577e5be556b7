"""Requests that wait at their entry node for a short peak to pass.

A waiting request holds no place in the scarce service. It is forwarded once the
known thresholds admit its rank, and is refused as not run as soon as it can no
longer be answered in time.
"""

from collections.abc import Callable
from math import inf

from radishtray_state import Clock

MAX_WAITING = 256
MAX_WAITING_BYTES = 4 * 1024 * 1024
# Headers and objects of a request without a body.
_REQUEST_OVERHEAD_BYTES = 4096
# A request that waits longer would rather have been refused: its caller could
# have returned by then.
_MAX_WAIT_S = 0.5
# Part of the caller's time that may be spent waiting, so that enough of it is
# left for one return after a refusal.
_MAX_WAIT_SHARE = 0.2
# Part of the admitted requests that one poll releases. Those that have waited
# together must not make the next peak.
_RELEASE_SHARE = 0.125
# Waits are tried again with one request in this number while most of them end
# with a refusal.
_PROBE_INTERVAL = 16
_MIN_SUCCESS_SHARE = 0.3
_SUCCESS_GAIN = 0.05
_LATENCY_GAIN = 0.1
_MAX_ROUTES = 256


class WaitingRequest:
    """A request that would be shed at the entry.

    Attributes:
        route: Name of its route.
        rank: Its class and level in one number.
        size_bytes: Length of its body.
        deadline_s: Monotonic time by which the caller must be answered.
        target_s: Monotonic time of its latency target.
        is_admitted: Returns whether the known thresholds admit the request.
        on_release: Called once when the request is to be forwarded.
        on_refuse: Called once when the request is to be refused.
        is_waiting: Whether neither has been called and it was not withdrawn.
        latest_start_s: Time at which it is refused if it still waits.
    """

    __slots__ = (
        "deadline_s",
        "is_admitted",
        "is_waiting",
        "latest_start_s",
        "on_refuse",
        "on_release",
        "rank",
        "route",
        "size_bytes",
        "target_s",
    )

    def __init__(
        self,
        route: str,
        rank: int,
        size_bytes: int,
        deadline_s: float,
        target_s: float,
        is_admitted: Callable[[], bool],
        on_release: Callable[[], None],
        on_refuse: Callable[[], None],
    ) -> None:
        """Creates a request that does not wait yet."""
        self.route = route
        self.rank = rank
        self.size_bytes = size_bytes + _REQUEST_OVERHEAD_BYTES
        self.deadline_s = deadline_s
        self.target_s = target_s
        self.is_admitted = is_admitted
        self.on_release = on_release
        self.on_refuse = on_refuse
        self.is_waiting = False
        self.latest_start_s = inf


class _RouteWaits:
    """Usual latency of a route, and how often waiting helped."""

    __slots__ = ("deviation_s", "latency_s", "offers", "success_share")

    def __init__(self, latency_s: float) -> None:
        self.latency_s = latency_s
        self.deviation_s = latency_s / 2
        self.success_share = 1.0
        self.offers = 0

    @property
    def usual_latency_s(self) -> float:
        return self.latency_s + self.deviation_s

    def add_latency(self, latency_s: float) -> None:
        difference = latency_s - self.latency_s
        self.latency_s += _LATENCY_GAIN * difference
        self.deviation_s += _LATENCY_GAIN * (abs(difference) - self.deviation_s)

    def add_outcome(self, *, is_released: bool) -> None:
        self.success_share += _SUCCESS_GAIN * (is_released - self.success_share)


class EntryWait:
    """Queue of waiting requests, bounded in number and bytes."""

    __slots__ = ("_bytes", "_clock", "_requests", "_routes")

    def __init__(self, clock: Clock) -> None:
        """Starts without requests and known latencies.

        Args:
            clock: Time source.
        """
        self._clock = clock
        self._requests: list[WaitingRequest] = []
        self._routes: dict[str, _RouteWaits] = {}
        self._bytes = 0

    def __len__(self) -> int:
        """Requests that wait, including those that were withdrawn."""
        return len(self._requests)

    @property
    def waiting_bytes(self) -> int:
        """Memory that the waiting requests are counted with."""
        return self._bytes

    def record_latency(self, route: str, latency_s: float) -> None:
        """Records the time from the sending of a request to its answer."""
        known = self._routes.get(route)
        if known is not None:
            known.add_latency(latency_s)
        elif len(self._routes) < _MAX_ROUTES:
            self._routes[route] = _RouteWaits(latency_s)

    def forget(self, route: str) -> None:
        """Forgets a route whose configuration has changed."""
        self._routes.pop(route, None)

    def offer(self, request: WaitingRequest) -> bool:
        """Takes a request into the queue.

        A full queue refuses the waiting request of the lowest rank instead, if
        its rank is lower.

        Returns:
            Whether the request waits. If not, its callbacks are not called.
        """
        known = self._routes.get(request.route)
        if known is None:
            return False
        known.offers += 1
        if (
            known.success_share < _MIN_SUCCESS_SHARE
            and known.offers % _PROBE_INTERVAL
        ):
            return False
        now_s = self._clock.monotonic()
        left_s = request.deadline_s - now_s
        request.latest_start_s = min(
            request.deadline_s - known.usual_latency_s,
            now_s + min(_MAX_WAIT_S, left_s * _MAX_WAIT_SHARE),
        )
        if request.latest_start_s <= now_s:
            return False
        if not self._make_room(request):
            return False
        request.is_waiting = True
        self._requests.append(request)
        self._bytes += request.size_bytes
        return True

    def _make_room(self, request: WaitingRequest) -> bool:
        while (
            len(self._requests) >= MAX_WAITING
            or self._bytes + request.size_bytes > MAX_WAITING_BYTES
        ):
            lowest = min(
                self._requests, key=lambda other: other.rank, default=None
            )
            if lowest is None or lowest.rank >= request.rank:
                return False
            self._remove(lowest)
            self._refuse(lowest)
        return True

    def withdraw(self, request: WaitingRequest) -> None:
        """Removes a request whose caller has gone or was answered."""
        if request.is_waiting:
            request.is_waiting = False
            self._remove(request)

    def _remove(self, request: WaitingRequest) -> None:
        self._requests.remove(request)
        self._bytes -= request.size_bytes

    def _refuse(self, request: WaitingRequest) -> None:
        request.is_waiting = False
        self._add_outcome(request, is_released=False)
        request.on_refuse()

    def _add_outcome(
        self, request: WaitingRequest, *, is_released: bool
    ) -> None:
        known = self._routes.get(request.route)
        if known is not None:
            known.add_outcome(is_released=is_released)

    def poll(self) -> None:
        """Refuses requests that are out of time and releases admitted ones.

        To be called every few hundredths of a second while requests wait. The
        highest ranks are released first, then those that can still meet their
        latency target, then those with the earliest deadline.
        """
        now_s = self._clock.monotonic()
        admitted = []
        for request in list(self._requests):
            if not request.is_waiting:
                continue  # Withdrawn by the callback of another request.
            if request.latest_start_s <= now_s:
                self._remove(request)
                self._refuse(request)
            elif request.is_admitted():
                admitted.append(request)
        if not admitted:
            return
        admitted.sort(key=lambda request: self._order(request, now_s))
        for request in admitted[: 1 + int(len(admitted) * _RELEASE_SHARE)]:
            if request.is_waiting:
                request.is_waiting = False
                self._remove(request)
                self._add_outcome(request, is_released=True)
                request.on_release()

    def _order(
        self, request: WaitingRequest, now_s: float
    ) -> tuple[int, bool, float]:
        known = self._routes.get(request.route)
        latency_s = known.usual_latency_s if known is not None else 0.0
        is_late = now_s + latency_s > request.target_s
        return -request.rank, is_late, request.deadline_s
