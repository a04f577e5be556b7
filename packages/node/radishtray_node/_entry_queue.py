"""Requests that wait at this node instead of being shed at the entry."""

from collections.abc import Callable

from radishtray_node._metrics import Metrics
from radishtray_node._timers import TimerWheel
from radishtray_overload import EntryWait, WaitingRequest
from radishtray_state import Clock

_POLL_INTERVAL_S = 0.025


class EntryQueue:
    """Polls the waiting requests while there are any.

    Attributes:
        wait: The waiting requests.
    """

    __slots__ = ("_clock", "_is_polling", "_timers", "wait")

    def __init__(
        self, clock: Clock, timers: TimerWheel, metrics: Metrics
    ) -> None:
        """Starts without requests.

        Args:
            clock: Time source.
            timers: Timers of the polls.
            metrics: Metrics of this node.
        """
        self._clock = clock
        self._timers = timers
        self._is_polling = False
        self.wait = EntryWait(clock)
        metrics.add_gauge(
            "radishtray_entry_waiting_requests",
            "Requests that wait at this entry node instead of being shed.",
            lambda: float(len(self.wait)),
        )
        metrics.add_gauge(
            "radishtray_entry_waiting_bytes",
            "Memory of the requests that wait at this entry node.",
            lambda: float(self.wait.waiting_bytes),
        )

    def offer(
        self,
        route: str,
        rank: int,
        size_bytes: int,
        deadline_s: float,
        target_latency_s: float,
        is_admitted: Callable[[], bool],
        on_release: Callable[[], None],
        on_refuse: Callable[[], None],
    ) -> WaitingRequest | None:
        """Takes a request into the queue.

        Args:
            route: Route of the request.
            rank: Its class and level in one number.
            size_bytes: Length of its body.
            deadline_s: Monotonic time by which the caller must be answered.
            target_latency_s: Latency target of the route, in seconds.
            is_admitted: Returns whether the known thresholds admit it.
            on_release: Called once when it is to be forwarded.
            on_refuse: Called once when it is to be refused.

        Returns:
            The waiting request, or None if it does not wait.
        """
        request = WaitingRequest(
            route,
            rank,
            size_bytes,
            deadline_s,
            self._clock.monotonic() + target_latency_s,
            is_admitted,
            on_release,
            on_refuse,
        )
        if not self.wait.offer(request):
            return None
        if not self._is_polling:
            self._is_polling = True
            self._timers.call_later(_POLL_INTERVAL_S, self._poll)
        return request

    def _poll(self) -> None:
        self.wait.poll()
        self._is_polling = len(self.wait) > 0
        if self._is_polling:
            self._timers.call_later(_POLL_INTERVAL_S, self._poll)
