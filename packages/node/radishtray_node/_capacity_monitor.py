"""Learned capacity of the upstream beside this node, visible to operators."""

import logging
from collections.abc import Callable

from radishtray_node._metrics import Metrics
from radishtray_overload import LearnedCapacity
from radishtray_state import ObservedRun

_LOG = logging.getLogger(__name__)
_LOGGED_CHANGE = 0.1
_LOG_INTERVAL_S = 1.0


class CapacityMonitor:
    """Feeds the learned capacity, and states it in metrics, log and answers."""

    __slots__ = (
        "_capacity",
        "_logged",
        "_next_log_s",
        "_stated_slots",
    )

    def __init__(
        self,
        metrics: Metrics,
        stated_slots: Callable[[], int],
    ) -> None:
        """Starts without evidence, and registers the gauges.

        Args:
            metrics: Metrics of this node.
            stated_slots: Returns the slots that the upstream states; 0 without
                an upstream.
        """
        self._stated_slots = stated_slots
        self._capacity = LearnedCapacity(1)
        self._logged = self._capacity.learned
        self._next_log_s = 0.0
        metrics.add_gauge(
            "radishtray_upstream_learned_limit",
            "Concurrent requests that the upstream is learned to handle well.",
            lambda: self._capacity.learned if stated_slots() else 0,
        )
        metrics.add_gauge(
            "radishtray_upstream_stated_slots",
            "Concurrent requests that the upstream states.",
            stated_slots,
        )

    def reset(self, slots: int) -> None:
        """Discards what was learned.

        Args:
            slots: Usable slots.
        """
        self._capacity.reset(slots)
        self._logged = slots

    def begin(self, kind: str, concurrency: int, now_s: float) -> ObservedRun:
        """Records that a run starts.

        Args:
            kind: Kind of the request.
            concurrency: Running requests, including this one.
            now_s: Present monotonic time.
        """
        return self._capacity.begin(kind, concurrency, now_s)

    def finish(self, run: ObservedRun, now_s: float, waited_s: float) -> int:
        """Records that a run has ended, and returns the limit.

        Args:
            run: The run.
            now_s: Present monotonic time.
            waited_s: Part of the run in which it waited for calls of its own.
        """
        capacity = self._capacity
        limit = capacity.finish(run, now_s, waited_s)
        if capacity.learned != self._logged:
            self._log_change(capacity.learned, now_s)
        return limit

    def abandon(self, run: ObservedRun) -> None:
        """Records that a run has ended in a way that says nothing.

        Args:
            run: The run.
        """
        self._capacity.abandon(run)

    def _log_change(self, learned: int, now_s: float) -> None:
        change = abs(learned - self._logged)
        if change <= _LOGGED_CHANGE * self._logged or now_s < self._next_log_s:
            return
        _LOG.info(
            "learned concurrency limit of the upstream has changed",
            extra={
                "limit": learned,
                "previous": self._logged,
                "stated_slots": self._stated_slots(),
            },
        )
        self._logged = learned
        self._next_log_s = now_s + _LOG_INTERVAL_S

    def answer_slots(self) -> int | None:
        """Returns the slots to state in answers; None for the stated ones.

        The value is scaled to the stated slots, so that senders compare it with
        the stated slots of other nodes.
        """
        capacity = self._capacity
        if not capacity.is_learned:
            return None
        stated = self._stated_slots()
        return max(1, round(stated * capacity.learned / capacity.slots))
