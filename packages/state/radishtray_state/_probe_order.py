"""Order in which members are probed and peers are drawn."""

import random
from collections.abc import Iterable


class ProbeOrder:
    """Shuffled round-robin over the live members, with constant-time changes.

    Every member is probed once per round, so the time until a failure is
    noticed is bounded and not only likely.
    """

    __slots__ = ("_index", "_next", "_order", "_rng")

    def __init__(self, rng: random.Random) -> None:
        """Starts empty.

        Args:
            rng: Source of the order.
        """
        self._rng = rng
        self._order: list[str] = []
        self._index: dict[str, int] = {}
        self._next = 0

    def __len__(self) -> int:
        """Returns the number of members."""
        return len(self._order)

    def __contains__(self, node_id: str) -> bool:
        """Returns whether the member takes part."""
        return node_id in self._index

    def add(self, node_id: str) -> None:
        """Adds a member at a random position of the rest of the round."""
        if node_id in self._index:
            return
        self._order.append(node_id)
        last = len(self._order) - 1
        self._index[node_id] = last
        self._swap(self._rng.randint(min(self._next, last), last), last)

    def remove(self, node_id: str) -> None:
        """Removes a member."""
        position = self._index.get(node_id)
        if position is None:
            return
        if position < self._next:
            self._next -= 1
            self._swap(position, self._next)
            position = self._next
        last = len(self._order) - 1
        self._swap(position, last)
        self._order.pop()
        del self._index[node_id]

    def next(self) -> str | None:
        """Returns the next member of the round; None if there is none."""
        if not self._order:
            return None
        if self._next >= len(self._order):
            self._next = 0
        # Shuffles one step per probe, so no round costs a burst of work.
        chosen = self._rng.randrange(self._next, len(self._order))
        self._swap(self._next, chosen)
        node_id = self._order[self._next]
        self._next += 1
        return node_id

    def draw(self, count: int, skip: Iterable[str] = ()) -> list[str]:
        """Returns up to count distinct random members."""
        skipped = set(skip)
        wanted = min(count + len(skipped), len(self._order))
        drawn = self._rng.sample(self._order, wanted)
        return [node_id for node_id in drawn if node_id not in skipped][:count]

    def _swap(self, first: int, second: int) -> None:
        order = self._order
        order[first], order[second] = order[second], order[first]
        self._index[order[first]] = first
        self._index[order[second]] = second
