"""Queue of member records that are still to be passed on."""

import math
from collections.abc import Callable, Sequence

from radishtray_state._gossip import record_bytes, total_bytes
from radishtray_state._member import MemberRecord


class GossipQueue:
    """Holds node ids by the number of times that their record was sent.

    The least sent records go first, so news overtakes repetition. Filling a
    datagram costs as much as the records that fit into it.
    """

    __slots__ = ("_by_sends", "_factor", "_record", "_sends")

    def __init__(
        self, factor: float, record: Callable[[str], MemberRecord | None]
    ) -> None:
        """Starts empty.

        Args:
            factor: Each record is sent about factor * log2(members) times.
            record: Returns the current record of a node id.
        """
        self._factor = factor
        self._record = record
        self._sends: dict[str, int] = {}
        self._by_sends: list[dict[str, None]] = [{}]

    def __len__(self) -> int:
        """Returns the number of records waiting."""
        return len(self._sends)

    @property
    def unsent(self) -> int:
        """Number of records that were not sent since they changed."""
        return len(self._by_sends[0])

    def add(self, node_id: str) -> None:
        """Queues a record that changed; its earlier sends no longer count."""
        self.discard(node_id)
        self._sends[node_id] = 0
        self._by_sends[0][node_id] = None

    def discard(self, node_id: str) -> None:
        """Removes a record from the queue."""
        sends = self._sends.pop(node_id, None)
        if sends is not None:
            del self._by_sends[sends][node_id]

    def __contains__(self, node_id: str) -> bool:
        """Returns whether the record is still to be passed on."""
        return node_id in self._sends

    def take(
        self, room: int, members: int, first: Sequence[MemberRecord]
    ) -> tuple[MemberRecord, ...]:
        """Returns the records of one datagram and counts them as sent.

        Args:
            room: Bytes of the datagram for records.
            members: Number of live members, which bounds the sends.
            first: Records to include in any case, each at most once.
        """
        room -= total_bytes(first)
        skip = frozenset(record.node_id for record in first)
        taken = (*first, *self._choose(room, skip))
        limit = send_limit(self._factor, members)
        for record in taken:
            self._count(record.node_id, limit)
        return taken

    def _choose(self, room: int, skip: frozenset[str]) -> list[MemberRecord]:
        taken: list[MemberRecord] = []
        for waiting in self._by_sends:
            for node_id in waiting:
                record = self._record(node_id)
                if record is None or node_id in skip:
                    continue
                room -= record_bytes(record)
                if room < 0:
                    return taken
                taken.append(record)
        return taken

    def _count(self, node_id: str, limit: int) -> None:
        sends = self._sends.get(node_id)
        if sends is None:
            return
        del self._by_sends[sends][node_id]
        sends += 1
        if sends >= limit:
            del self._sends[node_id]
            return
        if sends == len(self._by_sends):
            self._by_sends.append({})
        self._by_sends[sends][node_id] = None
        self._sends[node_id] = sends


def send_limit(factor: float, members: int) -> int:
    """Returns how often a record is sent among that many members.

    >>> [send_limit(3, members) for members in (1, 13, 4300)]
    [3, 12, 37]
    """
    return max(1, math.ceil(factor * math.log2(members + 1)))
