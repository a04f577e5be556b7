"""Bounded repair of the differences between two views."""

import random
from collections.abc import Iterator

from radishtray_state._gossip import ViewSummary, record_bytes
from radishtray_state._member import MemberRecord
from radishtray_state._member_view import MemberView
from radishtray_state._view_digest import DEPTH

_DIRECT_RECORDS = 8  # About one datagram; descending further saves nothing.

RepairPiece = tuple[ViewSummary | None, tuple[MemberRecord, ...]]


class RepairBudget:
    """Token bucket for repair datagrams.

    Without it, nodes that meet again after a partition answer every difference
    at once.
    """

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, rate_per_s: float, burst: int, now: float) -> None:
        """Starts full.

        Args:
            rate_per_s: Datagrams per second.
            burst: Datagrams that may be sent at once.
            now: Monotonic time in seconds.
        """
        self._rate = rate_per_s
        self._burst = float(burst)
        self._tokens = float(burst)
        self._filled_at = now

    def spend(self, now: float) -> bool:
        """Takes one datagram from the budget; returns whether it had one."""
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def differences(view: MemberView, summary: ViewSummary) -> list[int]:
    """Returns the positions of children whose digests differ."""
    own = view.digest.summary(summary.prefix, is_reply=False).digests
    return [
        child
        for child, (ours, theirs) in enumerate(
            zip(own, summary.digests, strict=True)
        )
        if ours != theirs
    ]


def repair(
    view: MemberView,
    summary: ViewSummary,
    differing: list[int],
    room: int,
    rng: random.Random,
) -> Iterator[RepairPiece]:
    """Yields answers to a summary that differs, one datagram each.

    A query is answered by the own summary, so the sender repairs the other
    direction, and by a query for one child. A reply is only answered by
    records. Children follow in random order, because the caller stops at its
    budget and repeated exchanges must make progress everywhere.
    """
    own = view.digest.summary(summary.prefix, is_reply=True)
    if not summary.is_reply:
        yield own, ()
    rng.shuffle(differing)
    descended = summary.is_reply
    for child in differing:
        prefix = f"{summary.prefix}{child:x}"
        node_ids = view.digest.node_ids(prefix)
        one_sided = not (own.digests[child] and summary.digests[child])
        if not (one_sided or descended or len(prefix) == DEPTH):
            descended = True
            yield view.digest.summary(prefix, is_reply=False), ()
        elif one_sided or _is_direct(prefix, len(node_ids)):
            yield from _chunks(view, node_ids, room)


def _is_direct(prefix: str, records: int) -> bool:
    return len(prefix) == DEPTH or records <= _DIRECT_RECORDS


def _chunks(
    view: MemberView, node_ids: list[str], room: int
) -> Iterator[RepairPiece]:
    chunk: list[MemberRecord] = []
    left = room
    for node_id in node_ids:
        record = view.get(node_id)
        if record is None:
            continue
        size = record_bytes(record)
        if size > left and chunk:
            yield None, tuple(chunk)
            chunk, left = [], room
        chunk.append(record)
        left -= size
    if chunk:
        yield None, tuple(chunk)
