"""Selects the members that compete for a lease, by rendezvous hashing.

Only candidates read the lease object of a role, so the number of platform
reads does not depend on the number of nodes.
"""

import functools
import hashlib
import heapq
from collections.abc import Iterable

from radishtray_state import MemberRecord

_MAX_CACHED_HASHES = 1024


def candidate_rank(
    members: Iterable[MemberRecord],
    role: str,
    node_id: str,
    candidate_count: int,
) -> int | None:
    """Returns a node's position among the candidates for a role.

    The candidates are the live members that are not draining and have the
    lowest hashes of role and node id, so nodes with the same view of the
    members select the same candidates.

    Args:
        members: Members that may take the role.
        role: Name of the role; the candidates differ from role to role.
        node_id: Node whose position is returned.
        candidate_count: Number of candidates.

    Returns:
        The position, counted from 0, or None if the node is not a candidate.
    """
    ranked = rank_candidates(members, role, candidate_count)
    for position, candidate in enumerate(ranked):
        if candidate.node_id == node_id:
            return position
    return None


def rank_candidates(
    members: Iterable[MemberRecord], role: str, candidate_count: int
) -> list[MemberRecord]:
    """Returns the candidates for a role; see `candidate_rank`."""
    return heapq.nsmallest(
        candidate_count,
        (
            member
            for member in members
            if member.is_live and not member.draining
        ),
        key=lambda member: _rendezvous_hash(role, member.node_id),
    )


@functools.lru_cache(maxsize=_MAX_CACHED_HASHES)
def _rendezvous_hash(role: str, node_id: str) -> bytes:
    text = f"{role}\0{node_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
