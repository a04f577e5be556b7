"""Digest tree over the live members, for finding differences between views.

The tree is compared top-down like a Merkle tree, but the digest of an inner
node is the XOR of the digests of the members below it.
"""

import hashlib
from array import array

from radishtray_state._gossip import ViewSummary
from radishtray_state._member import MemberRecord

FAN_OUT = 16
DEPTH = 3  # 4,096 leaves, about one member per leaf at the target of 4,300.
_LEAF_COUNT: int = FAN_OUT**DEPTH
_DIGEST_MASK = 0xFFFFFFFF


class ViewDigest:
    """XOR digests of the live members, whose leaf is a hash of the node id.

    The cost of an update does not depend on the number of members. Dead members
    are not part of the digests, because nodes remove them at different times.

    >>> ViewDigest().summary("", is_reply=False).digests == (0,) * 16
    True
    """

    __slots__ = ("_ids_by_leaf", "_levels")

    def __init__(self) -> None:
        """Initializes the tree of a view without members."""
        self._levels: list[array[int]] = [
            array("Q", bytes(8 * FAN_OUT**depth)) for depth in range(DEPTH + 1)
        ]
        self._ids_by_leaf: list[dict[str, None] | None] = [None] * _LEAF_COUNT

    @property
    def root_digest(self) -> int:
        """64-bit digest of the whole view."""
        digest: int = self._levels[0][0]
        return digest

    def add_node_id(self, node_id: str) -> None:
        """Adds the id of a live or dead node to the ids of its leaf."""
        leaf = leaf_index(node_id)
        bucket = self._ids_by_leaf[leaf]
        if bucket is None:
            bucket = self._ids_by_leaf[leaf] = {}
        bucket[node_id] = None

    def remove_node_id(self, node_id: str) -> None:
        """Removes a node id from the ids of its leaf."""
        leaf = leaf_index(node_id)
        bucket = self._ids_by_leaf[leaf]
        if bucket is not None:
            bucket.pop(node_id, None)
            if not bucket:
                self._ids_by_leaf[leaf] = None

    def toggle(self, record: MemberRecord) -> None:
        """Adds a live record to the digests, or removes it if it is included.

        Adding and removing are the same operation, because XOR is its own
        inverse.
        """
        value = _record_digest(record)
        index = leaf_index(record.node_id)
        for level in reversed(self._levels):
            level[index] ^= value
            index //= FAN_OUT

    def summary(self, prefix: str, is_reply: bool) -> ViewSummary:
        """Returns the digests of the children of a tree node.

        Args:
            prefix: Path of the tree node, at most two hexadecimal digits.
            is_reply: Copied to the summary.
        """
        depth = len(prefix)
        first_child = (int(prefix, FAN_OUT) if prefix else 0) * FAN_OUT
        children = self._levels[depth + 1][first_child : first_child + FAN_OUT]
        digests = tuple(_truncate_digest(child) for child in children)
        return ViewSummary(prefix, digests, is_reply)

    def node_ids_below(self, prefix: str) -> list[str]:
        """Returns the ids of live and dead nodes below a non-empty prefix."""
        leaf_count = FAN_OUT ** (DEPTH - len(prefix))
        first_leaf = int(prefix, FAN_OUT) * leaf_count
        buckets = self._ids_by_leaf[first_leaf : first_leaf + leaf_count]
        return [node_id for bucket in buckets if bucket for node_id in bucket]


def leaf_index(node_id: str) -> int:
    """Returns the leaf index of a node id, the same on every node."""
    digest = hashlib.blake2b(node_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % _LEAF_COUNT


def _record_digest(record: MemberRecord) -> int:
    text = f"{record.node_id}\0{record.incarnation}\0{record.version}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _truncate_digest(digest: int) -> int:
    """Truncates a digest to 32 bits that are 0 only if the digest is 0."""
    return (digest & _DIGEST_MASK) or (1 if digest else 0)
