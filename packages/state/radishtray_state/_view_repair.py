"""Anti-entropy repair of the differences between two views.

Two nodes exchange summaries of their digest trees, descend to the parts that
differ, and send each other the records of these parts. Token buckets limit the
rate of repair datagrams.
"""

import random
from collections.abc import Iterator

from radishtray_state._gossip import ViewSummary, record_bytes
from radishtray_state._member import MemberRecord
from radishtray_state._member_view import MemberView
from radishtray_state._view_digest import DEPTH

_MAX_DIRECT_RECORDS = 8  # About one datagram; descending further saves nothing.

RepairAnswer = tuple[ViewSummary | None, tuple[MemberRecord, ...]]


class TokenBucket:
    """Token bucket that limits the rate of repair datagrams.

    Without a limit, nodes that reconnect after a partition would answer every
    difference at once.
    """

    __slots__ = ("_burst", "_rate_per_s", "_refilled_at", "_tokens")

    def __init__(self, rate_per_s: float, burst: int, now: float) -> None:
        """Initializes a full bucket.

        Args:
            rate_per_s: Tokens added per second, one per datagram.
            burst: Capacity, the datagrams that may be sent at once.
            now: Monotonic time in seconds.
        """
        self._rate_per_s = rate_per_s
        self._burst = float(burst)
        self._tokens = float(burst)
        self._refilled_at = now

    def try_take(self, now: float) -> bool:
        """Takes a token for one datagram; returns whether one was available."""
        added = (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def differing_children(view: MemberView, summary: ViewSummary) -> list[int]:
    """Returns the indexes of the children whose digests differ."""
    own_digests = view.digest.summary(summary.prefix, is_reply=False).digests
    return [
        child
        for child, (own_digest, digest) in enumerate(
            zip(own_digests, summary.digests, strict=True)
        )
        if own_digest != digest
    ]


def repair_answers(
    view: MemberView,
    summary: ViewSummary,
    children: list[int],
    max_record_bytes: int,
    rng: random.Random,
) -> Iterator[RepairAnswer]:
    """Yields answers to a summary that differs, one datagram each.

    A query is answered by the summary of this node, from which the sender
    learns which records to send in return, and by a query for one child. A
    reply is answered by records only. The children are visited in random
    order: the caller stops when its token bucket is empty, and repeated
    exchanges must make progress in every part of the tree.

    Args:
        view: View of this node.
        summary: Summary that another node sent.
        children: Indexes of the children that differ; the list is shuffled.
        max_record_bytes: Size of a datagram that is left for records.
        rng: Random generator that shuffles the children.
    """
    own_summary = view.digest.summary(summary.prefix, is_reply=True)
    if not summary.is_reply:
        yield own_summary, ()
    rng.shuffle(children)
    has_descended = summary.is_reply
    for child in children:
        prefix = f"{summary.prefix}{child:x}"
        node_ids = view.digest.node_ids_below(prefix)
        one_side_empty = not (
            own_summary.digests[child] and summary.digests[child]
        )
        if not (one_side_empty or has_descended or len(prefix) == DEPTH):
            has_descended = True
            yield view.digest.summary(prefix, is_reply=False), ()
        elif one_side_empty or _may_send_records(prefix, len(node_ids)):
            yield from _record_chunks(view, node_ids, max_record_bytes)


def _may_send_records(prefix: str, record_count: int) -> bool:
    """Returns whether a subtree is sent as records, not descended further."""
    return len(prefix) == DEPTH or record_count <= _MAX_DIRECT_RECORDS


def _record_chunks(
    view: MemberView, node_ids: list[str], max_record_bytes: int
) -> Iterator[RepairAnswer]:
    chunk: list[MemberRecord] = []
    remaining_bytes = max_record_bytes
    for node_id in node_ids:
        record = view.get(node_id)
        if record is None:
            continue
        size = record_bytes(record)
        if size > remaining_bytes and chunk:
            yield None, tuple(chunk)
            chunk, remaining_bytes = [], max_record_bytes
        chunk.append(record)
        remaining_bytes -= size
    if chunk:
        yield None, tuple(chunk)
