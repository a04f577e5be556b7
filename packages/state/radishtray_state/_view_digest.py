"""Digest tree over the live members, for finding differences of two views."""

import hashlib
from array import array

from radishtray_state._gossip import ViewSummary
from radishtray_state._member import MemberRecord

FAN_OUT = 16
DEPTH = 3  # 4,096 leaves: about one member each at the target of 4,300.
_LEAVES: int = FAN_OUT**DEPTH
_DIGEST_MASK = 0xFFFFFFFF


class ViewDigest:
    """XOR digests of the live members, by the hash of their node id.

    An update costs the same at every number of members. Dead members are not
    part of the digest, because nodes forget them at different times.

    >>> ViewDigest().summary("", is_reply=False).digests == (0,) * 16
    True
    """

    __slots__ = ("_levels", "_members")

    def __init__(self) -> None:
        """Starts with an empty view."""
        self._levels: list[array[int]] = [
            array("Q", bytes(8 * FAN_OUT**depth)) for depth in range(DEPTH + 1)
        ]
        self._members: list[dict[str, None] | None] = [None] * _LEAVES

    @property
    def root(self) -> int:
        """64-bit digest of the whole view."""
        digest: int = self._levels[0][0]
        return digest

    def track(self, node_id: str) -> None:
        """Adds a node id, live or not, to the listing by prefix."""
        leaf = leaf_of(node_id)
        bucket = self._members[leaf]
        if bucket is None:
            bucket = self._members[leaf] = {}
        bucket[node_id] = None

    def forget(self, node_id: str) -> None:
        """Removes a node id from the listing."""
        leaf = leaf_of(node_id)
        bucket = self._members[leaf]
        if bucket is not None:
            bucket.pop(node_id, None)
            if not bucket:
                self._members[leaf] = None

    def toggle(self, record: MemberRecord) -> None:
        """Adds a live record to the digest, or removes it again."""
        value = _record_digest(record)
        index = leaf_of(record.node_id)
        for level in reversed(self._levels):
            level[index] ^= value
            index //= FAN_OUT

    def summary(self, prefix: str, is_reply: bool) -> ViewSummary:
        """Returns the digests of the children below a prefix.

        Args:
            prefix: At most two hexadecimal digits.
            is_reply: Copied to the summary.
        """
        depth = len(prefix)
        first = (int(prefix, FAN_OUT) if prefix else 0) * FAN_OUT
        children = self._levels[depth + 1][first : first + FAN_OUT]
        digests = tuple(_shorten(child) for child in children)
        return ViewSummary(prefix, digests, is_reply)

    def node_ids(self, prefix: str) -> list[str]:
        """Returns the node ids, live or not, below a non-empty prefix."""
        width = FAN_OUT ** (DEPTH - len(prefix))
        first = int(prefix, FAN_OUT) * width
        buckets = self._members[first : first + width]
        return [node_id for bucket in buckets if bucket for node_id in bucket]


def leaf_of(node_id: str) -> int:
    """Returns the leaf of a node id; the same at every node."""
    digest = hashlib.blake2b(node_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % _LEAVES


def _record_digest(record: MemberRecord) -> int:
    text = f"{record.node_id}\0{record.incarnation}\0{record.version}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _shorten(digest: int) -> int:
    """Returns 32 bits that are 0 only for the digest 0."""
    return (digest & _DIGEST_MASK) or (1 if digest else 0)
