"""Which members compete for a role, so that reads stay bounded."""

import hashlib
import heapq
from collections.abc import Iterable

from radishtray_state import MemberRecord


def candidate_rank(
    members: Iterable[MemberRecord], role: str, node_id: str, count: int
) -> int | None:
    """Returns a node's position among the candidates for a role.

    The candidates are the live members with the lowest hashes of role and
    node id, so nodes that agree on the members agree on the candidates.

    Args:
        members: Members that may take the role.
        role: Role; different roles get different candidates.
        node_id: The node in question.
        count: Number of candidates.

    Returns:
        The position from 0, or None if the node is no candidate.
    """
    ranked = heapq.nsmallest(
        count,
        (
            (_hash(role, member.node_id), member.node_id)
            for member in members
            if member.is_live and not member.draining
        ),
    )
    for position, (_, candidate) in enumerate(ranked):
        if candidate == node_id:
            return position
    return None


def _hash(role: str, node_id: str) -> bytes:
    text = f"{role}\0{node_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
