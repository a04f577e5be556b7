"""The records that a node holds, with the indexes that need no scan."""

import random
from collections.abc import Iterator

from radishtray_state._member import MemberChange, MemberRecord, MemberState
from radishtray_state._probe_order import ProbeOrder
from radishtray_state._view_digest import ViewDigest

NO_MEMBERS: tuple[MemberRecord, ...] = ()


class MemberView:
    """Records by node id, address and service; its owner's record included."""

    __slots__ = (
        "_by_address",
        "_by_service",
        "_own_id",
        "_records",
        "_serving",
        "dead",
        "digest",
        "peers",
    )

    def __init__(self, own: MemberRecord, rng: random.Random) -> None:
        """Starts with the own record.

        Args:
            own: Record of the node that owns the view.
            rng: Source of the probe order.
        """
        self._own_id = own.node_id
        self._records: dict[str, MemberRecord] = {}
        self._by_address: dict[str, str] = {}
        self._by_service: dict[str, dict[str, MemberRecord]] = {}
        self._serving: dict[str, tuple[MemberRecord, ...]] = {}
        self.digest = ViewDigest()
        self.peers = ProbeOrder(rng)
        self.dead = ProbeOrder(rng)
        self.put(own)

    def __len__(self) -> int:
        """Returns the number of records, dead ones included."""
        return len(self._records)

    def __iter__(self) -> Iterator[MemberRecord]:
        """Iterates over all records, dead ones included."""
        return iter(self._records.values())

    @property
    def live_count(self) -> int:
        """Number of live members, the own node included."""
        return len(self.peers) + 1

    def get(self, node_id: str) -> MemberRecord | None:
        """Returns the record of a node."""
        return self._records.get(node_id)

    def live_at(self, gossip_address: str) -> MemberRecord | None:
        """Returns the live member at an address."""
        node_id = self._by_address.get(gossip_address)
        return None if node_id is None else self._records.get(node_id)

    def serving(self, service_name: str) -> tuple[MemberRecord, ...]:
        """Returns the members that take requests for a service.

        The tuple is the same object until one of these members changes.
        """
        found = self._serving.get(service_name)
        if found is None:
            members = self._by_service.get(service_name)
            if not members:
                return NO_MEMBERS
            found = self._serving[service_name] = tuple(members.values())
        return found

    def put(self, record: MemberRecord) -> MemberChange:
        """Replaces the record of a node."""
        before = self._records.get(record.node_id)
        if before is None:
            self.digest.track(record.node_id)
        else:
            self._unlink(before)
        self._records[record.node_id] = record
        self._link(record)
        return MemberChange(before, record)

    def remove(self, node_id: str) -> None:
        """Forgets a node."""
        record = self._records.pop(node_id, None)
        if record is not None:
            self._unlink(record)
            self.digest.forget(node_id)
            self.dead.remove(node_id)

    def _link(self, record: MemberRecord) -> None:
        node_id = record.node_id
        if record.is_live:
            self.digest.toggle(record)
            self._by_address[record.gossip_address] = node_id
        if node_id != self._own_id:
            self._place(record)
        if record.takes_requests:
            service = self._by_service.setdefault(record.service_name, {})
            service[node_id] = record
            self._serving.pop(record.service_name, None)

    def _place(self, record: MemberRecord) -> None:
        node_id = record.node_id
        if record.is_live:
            self.peers.add(node_id)
            self.dead.remove(node_id)
            return
        self.peers.remove(node_id)
        if record.state is MemberState.DEAD:
            self.dead.add(node_id)
        else:
            self.dead.remove(node_id)

    def _unlink(self, record: MemberRecord) -> None:
        node_id = record.node_id
        if record.is_live:
            self.digest.toggle(record)
            if self._by_address.get(record.gossip_address) == node_id:
                del self._by_address[record.gossip_address]
        if record.takes_requests:
            service = self._by_service[record.service_name]
            del service[node_id]
            if not service:
                del self._by_service[record.service_name]
            self._serving.pop(record.service_name, None)
