"""Order in which members are probed, and random samples of them.

This is the round-robin probe target selection of SWIM.
"""

import random
from collections.abc import Iterable


class ProbeOrder:
    """Shuffled round-robin over members; changes take constant time.

    Every member is probed once per round, so the time until a failure is
    detected has an upper bound. With independent random choices only its mean
    would be bounded.
    """

    __slots__ = ("_index_by_id", "_next_index", "_order", "_rng")

    def __init__(self, rng: random.Random) -> None:
        """Initializes an order without members.

        Args:
            rng: Random generator that shuffles the members.
        """
        self._rng = rng
        self._order: list[str] = []
        self._index_by_id: dict[str, int] = {}
        self._next_index = 0

    def __len__(self) -> int:
        """Returns the number of members."""
        return len(self._order)

    def __contains__(self, node_id: str) -> bool:
        """Returns whether the member is part of the order."""
        return node_id in self._index_by_id

    def add(self, node_id: str) -> None:
        """Adds a member at a random position of the rest of this round."""
        if node_id in self._index_by_id:
            return
        self._order.append(node_id)
        last = len(self._order) - 1
        self._index_by_id[node_id] = last
        self._swap(self._rng.randint(min(self._next_index, last), last), last)

    def remove(self, node_id: str) -> None:
        """Removes a member; those already probed in this round stay probed."""
        position = self._index_by_id.get(node_id)
        if position is None:
            return
        if position < self._next_index:
            self._next_index -= 1
            self._swap(position, self._next_index)
            position = self._next_index
        last = len(self._order) - 1
        self._swap(position, last)
        self._order.pop()
        del self._index_by_id[node_id]

    def next(self) -> str | None:
        """Returns the next member of the round; None if there is none."""
        if not self._order:
            return None
        if self._next_index >= len(self._order):
            self._next_index = 0
        # One step of a Fisher-Yates shuffle per probe avoids a full shuffle at
        # the start of each round.
        chosen = self._rng.randrange(self._next_index, len(self._order))
        self._swap(self._next_index, chosen)
        node_id = self._order[self._next_index]
        self._next_index += 1
        return node_id

    def sample(self, count: int, excluded: Iterable[str] = ()) -> list[str]:
        """Returns up to `count` distinct random members, none excluded."""
        excluded_ids = set(excluded)
        sample_size = min(count + len(excluded_ids), len(self._order))
        sampled = self._rng.sample(self._order, sample_size)
        return [node_id for node_id in sampled if node_id not in excluded_ids][
            :count
        ]

    def _swap(self, first: int, second: int) -> None:
        order = self._order
        order[first], order[second] = order[second], order[first]
        self._index_by_id[order[first]] = first
        self._index_by_id[order[second]] = second
