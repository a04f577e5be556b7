"""Timers after which suspected members are declared dead."""

import dataclasses


@dataclasses.dataclass(slots=True)
class _SuspicionTimer:
    """Timer of one suspected member.

    Attributes:
        deadline: Monotonic time at which the member is declared dead.
        detected_locally: Whether a probe of this node failed; otherwise the
            suspicion was received by gossip.
    """

    deadline: float
    detected_locally: bool


class SuspicionTimers:
    """Deadline of each suspicion by node id.

    Each timer also holds whether the suspicion was detected locally, by a
    failed probe of this node, or was received by gossip.
    """

    __slots__ = ("_timers",)

    def __init__(self) -> None:
        """Initializes the table without timers."""
        self._timers: dict[str, _SuspicionTimer] = {}

    def __len__(self) -> int:
        """Returns the number of running timers."""
        return len(self._timers)

    def start(
        self, node_id: str, deadline: float, detected_locally: bool
    ) -> None:
        """Starts the timer of a node; a running one keeps its deadline."""
        self._timers.setdefault(
            node_id, _SuspicionTimer(deadline, detected_locally)
        )

    def cancel(self, node_id: str) -> None:
        """Cancels the timer of a node if one is running."""
        self._timers.pop(node_id, None)

    def postpone_all(self, seconds: float) -> None:
        """Postpones all deadlines by the duration of a pause of the process."""
        for timer in self._timers.values():
            timer.deadline += seconds

    def pop_expired(self, now: float) -> list[tuple[str, bool]]:
        """Removes the timers whose deadline has passed.

        Returns:
            Pairs of node id and whether the suspicion was detected locally.
        """
        expired = [
            (node_id, timer.detected_locally)
            for node_id, timer in self._timers.items()
            if timer.deadline <= now
        ]
        for node_id, _ in expired:
            del self._timers[node_id]
        return expired
