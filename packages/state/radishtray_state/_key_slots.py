"""Ownership of key slots by interval of issue time.

Every function returns the next table and changes nothing. Two rules hold for
each of them: intervals of a slot never overlap, and an issue time once granted
never moves to another owner, except a part that the owner itself proves
unaccepted, or a part above every issue time that a dead owner can have
accepted.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import pairwise
from typing import Final

from radishtray_state._request_key import SLOT_COUNT

HORIZON_MS: Final = 3_600_000
"""How far ahead of its clock an owner extends its intervals: 1 h."""

MAX_AHEAD_MS: Final = 5_000
"""How far past its clock an owner accepts an issue time."""

CLOCK_ERROR_MS: Final = 30_000
"""Assumed bound on the difference of two VMs' wall clocks."""

REPLACEMENT_MARGIN_MS: Final = MAX_AHEAD_MS + 2 * CLOCK_ERROR_MS
"""Distance from the replacer's clock to the replacement's first issue time."""

REBALANCE_LEAD_MS: Final = 10_000
"""Distance to a voluntary boundary; the new owner is told by a push.

If the push is lost, the first key that the new owner has to refuse makes it
read the table.
"""

RETENTION_MS: Final = 3_600_000
"""How long an ended interval stays listed, so that resends find its owner."""


@dataclass(frozen=True, slots=True, order=True)
class SlotOwner:
    """One process that may own intervals."""

    node_id: str
    """Identity of the node."""

    incarnation: int
    """Distinguishes processes at the same node; later ones are higher."""


@dataclass(frozen=True, slots=True)
class SlotInterval:
    """The issue times from `from_ms` up to, excluding, `until_ms`."""

    owner_id: str
    """Node id of the owner."""

    incarnation: int
    """Incarnation of the owner."""

    from_ms: int
    """First issue time, in milliseconds since the Unix epoch."""

    until_ms: int
    """First issue time past the interval."""

    def __post_init__(self) -> None:
        """Checks the bounds.

        Raises:
            ValueError: If the interval is empty or starts below zero.
        """
        if not 0 <= self.from_ms < self.until_ms:
            raise ValueError(f"interval [{self.from_ms}, {self.until_ms})")

    @property
    def owner(self) -> SlotOwner:
        """The owning process."""
        return SlotOwner(self.owner_id, self.incarnation)

    def contains(self, issued_ms: int) -> bool:
        """Whether the issue time lies in the interval."""
        return self.from_ms <= issued_ms < self.until_ms


SlotIntervals = tuple[SlotInterval, ...]


class SlotTable:
    """The intervals of all 64 slots of one service, in order of issue time."""

    __slots__ = ("_revision", "_slots")

    def __init__(
        self,
        slots: Iterable[Iterable[SlotInterval]] = (),
        revision: int = 0,
    ) -> None:
        """Takes 64 lists of intervals, or none for an empty table.

        Args:
            slots: One list for each slot, in order of issue time.
            revision: Number of the write that made the table. The platform's
                versions are opaque, so they do not tell which table is newer.

        Raises:
            ValueError: If the count is wrong or intervals overlap.
        """
        lists = tuple(tuple(slot) for slot in slots) or ((),) * SLOT_COUNT
        if len(lists) != SLOT_COUNT:
            raise ValueError(f"{len(lists)} slots instead of {SLOT_COUNT}")
        for number, intervals in enumerate(lists):
            for left, right in pairwise(intervals):
                if right.from_ms < left.until_ms:
                    raise ValueError(f"slot {number}: intervals overlap")
        self._slots = lists
        self._revision = revision

    @property
    def revision(self) -> int:
        """Number of the write that made the table; 0 for a computed one."""
        return self._revision

    @property
    def slots(self) -> tuple[SlotIntervals, ...]:
        """The intervals of each slot."""
        return self._slots

    def interval_of(self, slot: int, issued_ms: int) -> SlotInterval | None:
        """Returns the interval that holds the issue time."""
        for interval in reversed(self._slots[slot]):
            if interval.contains(issued_ms):
                return interval
        return None

    def heir(
        self, slot: int, issued_ms: int, alive: Callable[[SlotOwner], bool]
    ) -> SlotOwner | None:
        """Returns the first live owner of a later interval.

        A leaving owner sends its records there, and entry nodes look for them
        there.
        """
        for interval in self._slots[slot]:
            if interval.from_ms > issued_ms and alive(interval.owner):
                return interval.owner
        return None

    def owned_count(self, owner: SlotOwner) -> int:
        """Returns in how many slots the owner has the last interval."""
        return sum(
            1 for slot in self._slots if slot and slot[-1].owner == owner
        )

    def owned_now(self, owner: SlotOwner, now_ms: int) -> int:
        """Returns in how many slots the owner's interval contains a time."""
        found = (self.interval_of(slot, now_ms) for slot in range(SLOT_COUNT))
        return sum(1 for i in found if i is not None and i.owner == owner)

    def __eq__(self, other: object) -> bool:
        """Compares all intervals; the revision does not count."""
        return isinstance(other, SlotTable) and self._slots == other._slots

    def __hash__(self) -> int:
        """Returns the hash of all intervals."""
        return hash(self._slots)


def claim_free(
    table: SlotTable, me: SlotOwner, members: int, now_ms: int
) -> SlotTable:
    """Claims slots whose last interval has ended, up to a fair share.

    Args:
        table: Present table.
        me: The claiming process.
        members: Serving members of the service, including me.
        now_ms: The claimer's wall time.

    Returns:
        The next table; equal to the present one if nothing is free.
    """
    wanted = -(-SLOT_COUNT // max(members, 1)) - table.owned_count(me)
    slots = list(table.slots)
    # Starting at different slots keeps concurrent claims from meeting.
    first = hash_of(me) % SLOT_COUNT
    for offset in range(SLOT_COUNT):
        number = (first + offset) % SLOT_COUNT
        if wanted <= 0:
            break
        start = _free_from(slots[number], now_ms)
        if start is None:
            continue
        added = _interval(me, start, now_ms + HORIZON_MS)
        slots[number] = _joined((*slots[number], added))
        wanted -= 1
    return SlotTable(slots)


def extend_horizon(table: SlotTable, me: SlotOwner, now_ms: int) -> SlotTable:
    """Moves the end of my last intervals to the horizon."""
    until_ms = now_ms + HORIZON_MS
    slots = []
    for intervals in table.slots:
        last = intervals[-1] if intervals else None
        if last and last.owner == me and last.until_ms < until_ms:
            longer = replace(last, until_ms=until_ms)
            intervals = (*intervals[:-1], longer)  # noqa: PLW2901
        slots.append(intervals)
    return SlotTable(slots)


def rebalance(
    table: SlotTable,
    me: SlotOwner,
    members: Collection[SlotOwner],
    now_ms: int,
    highest_accepted: Callable[[int], int],
) -> SlotTable:
    """Gives some of my slots to members with fewer, from a future issue time.

    Only the present owner may call this, and it must stop accepting issue
    times above each boundary before it writes the result.

    Args:
        table: Present table.
        me: The giving process.
        members: Serving members of the service.
        now_ms: The giver's wall time.
        highest_accepted: The highest issue time that I accepted in a slot, or
            -1.

    Returns:
        The next table.
    """
    if any(_free_from(slot, now_ms) is not None for slot in table.slots):
        # Members with few slots can claim those first.
        return table
    counts = {member: table.owned_count(member) for member in members}
    counts.pop(me, None)
    slots = list(table.slots)
    held = table.owned_count(me)
    # Giving below the share would make others give slots back.
    share = SLOT_COUNT // max(len(members), 1)
    for number, intervals in enumerate(slots):
        if not intervals or intervals[-1].owner != me or not counts:
            continue
        taker = min(counts, key=lambda member: (counts[member], member))
        if held <= share or held - counts[taker] < 2:
            break
        earliest = max(now_ms + REBALANCE_LEAD_MS, highest_accepted(number) + 1)
        if not intervals[-1].from_ms < earliest < intervals[-1].until_ms:
            continue
        slots[number] = _cut_last(intervals, earliest, taker)
        counts[taker] += 1
        held -= 1
    return SlotTable(slots)


def hand_over(
    table: SlotTable,
    me: SlotOwner,
    members: Collection[SlotOwner],
    highest_accepted: Callable[[int], int],
) -> SlotTable:
    """Gives every issue time above my highest accepted one to others.

    Only the present owner may call this, after it stopped accepting keys.

    Args:
        table: Present table.
        me: The leaving process.
        members: Serving members of the service; I am ignored.
        highest_accepted: The highest issue time that I accepted in a slot, or
            -1.

    Returns:
        The next table; equal to the present one without other members.
    """
    counts = {m: table.owned_count(m) for m in members if m != me}
    if not counts:
        return table
    slots = []
    for number, intervals in enumerate(table.slots):
        boundary = highest_accepted(number) + 1
        slots.append(_without_owner(intervals, me, boundary, counts))
    return SlotTable(slots)


def replace_dead(
    table: SlotTable,
    dead: SlotOwner,
    members: Collection[SlotOwner],
    now_ms: int,
) -> SlotTable:
    """Gives the far part of a dead owner's intervals to members.

    The caller must have proof that the process has ended: a newer incarnation
    at its address completed the handshake. Its records are lost, so the
    boundary lies above every issue time that it can have accepted.

    Args:
        table: Present table.
        dead: The ended process.
        members: Serving members of the service.
        now_ms: The writer's wall time, read after the proof.

    Returns:
        The next table.
    """
    counts = {m: table.owned_count(m) for m in members if m != dead}
    if not counts:
        return table
    boundary = now_ms + REPLACEMENT_MARGIN_MS
    return SlotTable(
        _without_owner(intervals, dead, boundary, counts)
        for intervals in table.slots
    )


def prune(
    table: SlotTable, now_ms: int, retention_ms: int = RETENTION_MS
) -> SlotTable:
    """Removes intervals that ended longer ago than the retention.

    The last interval of a slot stays, because its end is the lowest issue time
    that may be granted next.
    """
    limit = now_ms - retention_ms - REPLACEMENT_MARGIN_MS
    return SlotTable(
        (*(i for i in slot[:-1] if i.until_ms > limit), *slot[-1:])
        for slot in table.slots
    )


def boundaries(
    before: SlotTable, after: SlotTable, me: SlotOwner
) -> Mapping[int, int]:
    """Returns, for each slot, the first issue time that `after` takes from me.

    An owner refuses these issue times from before it writes `after`.
    """
    taken: dict[int, int] = {}
    for number in range(SLOT_COUNT):
        for interval in before.slots[number]:
            if interval.owner != me:
                continue
            kept = _kept_until(interval, after.slots[number])
            if kept < interval.until_ms:
                taken[number] = min(kept, taken.get(number, kept))
    return taken


def hash_of(owner: SlotOwner) -> int:
    """Returns a number that is the same in every process."""
    return sum(owner.node_id.encode()) + owner.incarnation


def _kept_until(mine: SlotInterval, intervals: SlotIntervals) -> int:
    """Returns where other owners' part of my interval starts."""
    foreign = [
        max(i.from_ms, mine.from_ms)
        for i in intervals
        if i.owner != mine.owner
        and i.from_ms < mine.until_ms
        and i.until_ms > mine.from_ms
    ]
    return min(foreign, default=mine.until_ms)


def _free_from(intervals: SlotIntervals, now_ms: int) -> int | None:
    """Returns the first issue time that may be granted, if the slot is free."""
    if not intervals:
        return now_ms
    last = intervals[-1]
    return last.until_ms if last.until_ms <= now_ms else None


def _interval(owner: SlotOwner, from_ms: int, until_ms: int) -> SlotInterval:
    return SlotInterval(owner.node_id, owner.incarnation, from_ms, until_ms)


def _cut_last(
    intervals: SlotIntervals, boundary: int, taker: SlotOwner
) -> SlotIntervals:
    *earlier, last = intervals
    kept = _interval(last.owner, last.from_ms, boundary)
    given = _interval(taker, boundary, last.until_ms)
    return (*earlier, kept, given)


def _without_owner(
    intervals: SlotIntervals,
    leaving: SlotOwner,
    boundary: int,
    counts: dict[SlotOwner, int],
) -> SlotIntervals:
    """Reassigns the leaving owner's issue times from the boundary on.

    They go to the owner of the next interval if it is a member, otherwise to
    the member with the fewest slots.
    """
    result: list[SlotInterval] = []
    for interval in reversed(intervals):
        if interval.owner != leaving or interval.until_ms <= boundary:
            result.append(interval)
            continue
        start = max(boundary, interval.from_ms)
        following = result[-1].owner if result else None
        if following not in counts:
            following = min(counts, key=lambda member: (counts[member], member))
            counts[following] += 1
        assert following is not None
        result.append(_interval(following, start, interval.until_ms))
        if interval.from_ms < start:
            result.append(replace(interval, until_ms=start))
    return _joined(tuple(reversed(result)))


def _joined(intervals: SlotIntervals) -> SlotIntervals:
    """Merges adjacent intervals of one owner."""
    result: list[SlotInterval] = []
    for interval in intervals:
        last = result[-1] if result else None
        if (
            last
            and last.owner == interval.owner
            and last.until_ms == interval.from_ms
        ):
            result[-1] = replace(last, until_ms=interval.until_ms)
        else:
            result.append(interval)
    return tuple(result)
