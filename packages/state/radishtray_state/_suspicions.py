"""Timers of suspected members."""

import dataclasses


@dataclasses.dataclass(slots=True)
class _Suspicion:
    deadline: float
    own: bool


class Suspicions:
    """Deadlines by node id, and whether the suspicion is the owner's own."""

    __slots__ = ("_suspicions",)

    def __init__(self) -> None:
        """Starts without suspicions."""
        self._suspicions: dict[str, _Suspicion] = {}

    def __len__(self) -> int:
        """Returns the number of suspicions."""
        return len(self._suspicions)

    def start(self, node_id: str, deadline: float, own: bool) -> None:
        """Starts a timer; one that runs keeps its deadline."""
        self._suspicions.setdefault(node_id, _Suspicion(deadline, own))

    def clear(self, node_id: str) -> None:
        """Stops a timer."""
        self._suspicions.pop(node_id, None)

    def postpone(self, seconds: float) -> None:
        """Moves all deadlines, after a pause of the owner."""
        for suspicion in self._suspicions.values():
            suspicion.deadline += seconds

    def expired(self, now: float) -> list[tuple[str, bool]]:
        """Removes and returns the node ids whose time is over.

        Returns:
            Pairs of node id and whether the suspicion was the owner's own.
        """
        over = [
            (node_id, suspicion.own)
            for node_id, suspicion in self._suspicions.items()
            if suspicion.deadline <= now
        ]
        for node_id, _ in over:
            del self._suspicions[node_id]
        return over
