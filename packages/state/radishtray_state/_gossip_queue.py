"""Queue of the member records to piggyback on outgoing gossip messages.

This is the bounded dissemination of SWIM: each changed record is sent a number
of times that grows with the logarithm of the number of members.
"""

import math
from collections.abc import Callable, Sequence

from radishtray_state._gossip import record_bytes, total_record_bytes
from radishtray_state._member import MemberRecord


class GossipQueue:
    """Node ids of queued records, grouped by how often the record was sent.

    The least sent records are sent first, so that a new change does not wait
    behind records that were already sent. The cost of filling a datagram
    depends on the number of records that fit into it, not on the queue length.
    """

    __slots__ = (
        "_get_record",
        "_ids_by_send_count",
        "_send_counts",
        "_transmit_factor",
    )

    def __init__(
        self,
        transmit_factor: float,
        get_record: Callable[[str], MemberRecord | None],
    ) -> None:
        """Initializes an empty queue.

        Args:
            transmit_factor: Each record is sent about
                transmit_factor * log2(members) times.
            get_record: Returns the current record of a node id; None if there
                is none.
        """
        self._transmit_factor = transmit_factor
        self._get_record = get_record
        self._send_counts: dict[str, int] = {}
        self._ids_by_send_count: list[dict[str, None]] = [{}]

    def __len__(self) -> int:
        """Returns the number of queued records."""
        return len(self._send_counts)

    @property
    def unsent_count(self) -> int:
        """Number of queued records not sent since their last change."""
        return len(self._ids_by_send_count[0])

    def add(self, node_id: str) -> None:
        """Queues a changed record and resets its send count."""
        self.discard(node_id)
        self._send_counts[node_id] = 0
        self._ids_by_send_count[0][node_id] = None

    def discard(self, node_id: str) -> None:
        """Removes a record from the queue."""
        sends = self._send_counts.pop(node_id, None)
        if sends is not None:
            del self._ids_by_send_count[sends][node_id]

    def __contains__(self, node_id: str) -> bool:
        """Returns whether the record of a node is queued."""
        return node_id in self._send_counts

    def take(
        self,
        available_bytes: int,
        live_count: int,
        required: Sequence[MemberRecord],
    ) -> tuple[MemberRecord, ...]:
        """Returns the records of one datagram and counts them as sent.

        Args:
            available_bytes: Size of the datagram that is left for records.
            live_count: Number of live members, which bounds the sends.
            required: Records to include in any case, of distinct members.
        """
        available_bytes -= total_record_bytes(required)
        excluded = frozenset(record.node_id for record in required)
        records = (*required, *self._select_records(available_bytes, excluded))
        limit = send_limit(self._transmit_factor, live_count)
        for record in records:
            self._count_send(record.node_id, limit)
        return records

    def _select_records(
        self, remaining_bytes: int, excluded: frozenset[str]
    ) -> list[MemberRecord]:
        selected: list[MemberRecord] = []
        for node_ids in self._ids_by_send_count:
            for node_id in node_ids:
                record = self._get_record(node_id)
                if record is None or node_id in excluded:
                    continue
                remaining_bytes -= record_bytes(record)
                if remaining_bytes < 0:
                    return selected
                selected.append(record)
        return selected

    def _count_send(self, node_id: str, limit: int) -> None:
        sends = self._send_counts.get(node_id)
        if sends is None:
            return
        del self._ids_by_send_count[sends][node_id]
        sends += 1
        if sends >= limit:
            del self._send_counts[node_id]
            return
        if sends == len(self._ids_by_send_count):
            self._ids_by_send_count.append({})
        self._ids_by_send_count[sends][node_id] = None
        self._send_counts[node_id] = sends


def send_limit(transmit_factor: float, live_count: int) -> int:
    """Returns how often a record is sent at a number of live members.

    >>> [send_limit(3, live_count) for live_count in (1, 13, 4300)]
    [3, 12, 37]
    """
    return max(1, math.ceil(transmit_factor * math.log2(live_count + 1)))
