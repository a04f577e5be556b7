"""Member records of a node, indexed so that lookups do not scan all members."""

import random
from collections.abc import Iterator

from radishtray_state._member import MemberChange, MemberRecord, MemberState
from radishtray_state._probe_order import ProbeOrder
from radishtray_state._view_digest import ViewDigest

NO_MEMBERS: tuple[MemberRecord, ...] = ()


class MemberView:
    """Member records by node id, gossip address and service.

    The node that owns the view is included, except in the probe orders.

    Attributes:
        digest: Digest tree over the live members, the owner included.
        live_peers: Live members other than the owner, in probe order.
        dead_members: Members that failed but did not leave, in probe order.
    """

    __slots__ = (
        "_live_id_by_address",
        "_own_id",
        "_records",
        "_serving_by_service",
        "_serving_cache",
        "dead_members",
        "digest",
        "live_peers",
    )

    def __init__(self, own_record: MemberRecord, rng: random.Random) -> None:
        """Initializes a view that contains only its owner.

        Args:
            own_record: Record of the node that owns the view.
            rng: Random generator that shuffles the probe orders.
        """
        self._own_id = own_record.node_id
        self._records: dict[str, MemberRecord] = {}
        self._live_id_by_address: dict[str, str] = {}
        self._serving_by_service: dict[str, dict[str, MemberRecord]] = {}
        self._serving_cache: dict[str, tuple[MemberRecord, ...]] = {}
        self.digest = ViewDigest()
        self.live_peers = ProbeOrder(rng)
        self.dead_members = ProbeOrder(rng)
        self.put(own_record)

    def __len__(self) -> int:
        """Returns the number of records, dead ones included."""
        return len(self._records)

    def __iter__(self) -> Iterator[MemberRecord]:
        """Iterates over all records, dead ones included."""
        return iter(self._records.values())

    @property
    def live_count(self) -> int:
        """Number of live members, the owner included."""
        return len(self.live_peers) + 1

    def get(self, node_id: str) -> MemberRecord | None:
        """Returns the record of a node; None if it is unknown."""
        return self._records.get(node_id)

    def live_member_at(self, gossip_address: str) -> MemberRecord | None:
        """Returns the live member at an address; None if there is none."""
        node_id = self._live_id_by_address.get(gossip_address)
        return None if node_id is None else self._records.get(node_id)

    def members_serving(self, service_name: str) -> tuple[MemberRecord, ...]:
        """Returns the members that accept requests for a service.

        The tuple is the same object until one of these members changes.
        """
        cached = self._serving_cache.get(service_name)
        if cached is None:
            members = self._serving_by_service.get(service_name)
            if not members:
                return NO_MEMBERS
            cached = self._serving_cache[service_name] = tuple(members.values())
        return cached

    def put(self, record: MemberRecord) -> MemberChange:
        """Adds or replaces the record of a node and updates the indexes."""
        before = self._records.get(record.node_id)
        if before is None:
            self.digest.add_node_id(record.node_id)
        else:
            self._remove_from_indexes(before)
        self._records[record.node_id] = record
        self._add_to_indexes(record)
        return MemberChange(before, record)

    def remove(self, node_id: str) -> None:
        """Removes the record of a dead or departed node."""
        record = self._records.pop(node_id, None)
        if record is not None:
            self._remove_from_indexes(record)
            self.digest.remove_node_id(node_id)
            self.dead_members.remove(node_id)

    def _add_to_indexes(self, record: MemberRecord) -> None:
        node_id = record.node_id
        if record.is_live:
            self.digest.toggle(record)
            self._live_id_by_address[record.gossip_address] = node_id
        if node_id != self._own_id:
            self._update_probe_orders(record)
        if record.accepts_requests:
            members = self._serving_by_service.setdefault(
                record.service_name, {}
            )
            members[node_id] = record
            self._serving_cache.pop(record.service_name, None)

    def _update_probe_orders(self, record: MemberRecord) -> None:
        node_id = record.node_id
        if record.is_live:
            self.live_peers.add(node_id)
            self.dead_members.remove(node_id)
            return
        self.live_peers.remove(node_id)
        if record.state is MemberState.DEAD:
            self.dead_members.add(node_id)
        else:
            self.dead_members.remove(node_id)

    def _remove_from_indexes(self, record: MemberRecord) -> None:
        node_id = record.node_id
        if record.is_live:
            self.digest.toggle(record)
            if self._live_id_by_address.get(record.gossip_address) == node_id:
                del self._live_id_by_address[record.gossip_address]
        if record.accepts_requests:
            members = self._serving_by_service[record.service_name]
            del members[node_id]
            if not members:
                del self._serving_by_service[record.service_name]
            self._serving_cache.pop(record.service_name, None)
