"""Assignment of key slots to owners by intervals of issue time.

A slot is a hash partition of the keys of a service. The functions that change
the assignment return a new table and leave the present one as it is. Two rules
hold for each of them. The intervals of a slot never overlap. An issue time
that was granted moves to another owner only if the owner gives it away and has
not accepted it, or if the owner's process has ended and the time lies above
every one that it can have accepted.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import pairwise
from typing import Final

from radishtray_state._request_key import SLOT_COUNT

HORIZON_MS: Final = 3_600_000
"""How far ahead of its clock an owner extends its intervals."""

MAX_AHEAD_MS: Final = 5_000
"""How far ahead of its clock an owner accepts an issue time."""

CLOCK_ERROR_MS: Final = 30_000
"""Assumed maximum difference between the wall clocks of two VMs."""

REPLACEMENT_MARGIN_MS: Final = MAX_AHEAD_MS + 2 * CLOCK_ERROR_MS
"""How far ahead of the writer's clock a dead owner's replacement starts."""

REBALANCE_LEAD_MS: Final = 10_000
"""How far ahead of the owner's clock `rebalance` places a boundary.

Within this time a push tells the new owner about its interval. If the push is
lost, the new owner reads the table when it first has to refuse a key.
"""

RETENTION_MS: Final = 3_600_000
"""How long an ended interval stays in the table.

Resends of its keys are routed to its owner during this time.
"""


@dataclass(frozen=True, slots=True, order=True)
class SlotOwner:
    """A process that may own intervals."""

    node_id: str
    """Identity of the node."""

    incarnation: int
    """Identifies one process of the node; later processes have higher ones."""


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
            raise ValueError(
                f"interval [{self.from_ms}, {self.until_ms}) is empty or "
                "starts below zero"
            )

    @property
    def owner(self) -> SlotOwner:
        """The owning process."""
        return SlotOwner(self.owner_id, self.incarnation)

    def contains(self, issued_ms: int) -> bool:
        """Returns whether the issue time lies in the interval."""
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
        """Creates a table of 64 lists of intervals, or an empty table.

        Args:
            slots: One list for each slot, in order of issue time. None at all
                make an empty table.
            revision: Number of the write that stored the table. The platform's
                versions are opaque, so they do not tell which table is newer.

        Raises:
            ValueError: If there are not 64 lists or intervals overlap.
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
        """Number of the write that stored the table, or 0 if not stored."""
        return self._revision

    @property
    def slots(self) -> tuple[SlotIntervals, ...]:
        """The intervals of each slot."""
        return self._slots

    def interval_of(self, slot: int, issued_ms: int) -> SlotInterval | None:
        """Returns the interval that contains the issue time, or None."""
        for interval in reversed(self._slots[slot]):
            if interval.contains(issued_ms):
                return interval
        return None

    def live_successor(
        self, slot: int, issued_ms: int, is_alive: Callable[[SlotOwner], bool]
    ) -> SlotOwner | None:
        """Returns the first live owner of a later interval, or None.

        A leaving owner sends its records to this process, and other nodes
        forward keys of the leaving owner to it.
        """
        for interval in self._slots[slot]:
            if interval.from_ms > issued_ms and is_alive(interval.owner):
                return interval.owner
        return None

    def owned_count(self, owner: SlotOwner) -> int:
        """Returns the number of slots whose last interval the owner has."""
        return sum(
            1 for slot in self._slots if slot and slot[-1].owner == owner
        )

    def owned_count_at(self, owner: SlotOwner, now_ms: int) -> int:
        """Returns the number of slots whose interval at `now_ms` it owns."""
        found = (self.interval_of(slot, now_ms) for slot in range(SLOT_COUNT))
        return sum(1 for i in found if i is not None and i.owner == owner)

    def __eq__(self, other: object) -> bool:
        """Compares all intervals but not the revision."""
        return isinstance(other, SlotTable) and self._slots == other._slots

    def __hash__(self) -> int:
        """Returns the hash of all intervals."""
        return hash(self._slots)


def claim_free_slots(
    table: SlotTable, owner: SlotOwner, member_count: int, now_ms: int
) -> SlotTable:
    """Claims slots whose last interval has ended, up to an equal share.

    Args:
        table: Present table.
        owner: The claiming process.
        member_count: Number of serving members of the service, including the
            claiming process.
        now_ms: Wall time of the claiming process.

    Returns:
        The next table; equal to the present one if no slot is free.
    """
    wanted = -(-SLOT_COUNT // max(member_count, 1)) - table.owned_count(owner)
    slots = list(table.slots)
    # Owners start at different slots, so that concurrent claims rarely
    # conflict.
    first = stable_hash(owner) % SLOT_COUNT
    for offset in range(SLOT_COUNT):
        number = (first + offset) % SLOT_COUNT
        if wanted <= 0:
            break
        start = _free_from_ms(slots[number], now_ms)
        if start is None:
            continue
        added = _make_interval(owner, start, now_ms + HORIZON_MS)
        slots[number] = _merge_adjacent((*slots[number], added))
        wanted -= 1
    return SlotTable(slots)


def extend_horizon(
    table: SlotTable, owner: SlotOwner, now_ms: int
) -> SlotTable:
    """Extends the owner's last intervals to `HORIZON_MS` from now."""
    until_ms = now_ms + HORIZON_MS
    slots = []
    for intervals in table.slots:
        last = intervals[-1] if intervals else None
        if last and last.owner == owner and last.until_ms < until_ms:
            extended = replace(last, until_ms=until_ms)
            intervals = (*intervals[:-1], extended)  # noqa: PLW2901
        slots.append(intervals)
    return SlotTable(slots)


def rebalance(
    table: SlotTable,
    owner: SlotOwner,
    members: Collection[SlotOwner],
    now_ms: int,
    highest_accepted: Callable[[int], int],
) -> SlotTable:
    """Transfers slots to members with fewer, from a future issue time on.

    Only the present owner may call this. Before it writes the result, it must
    stop accepting issue times from each boundary on.

    Args:
        table: Present table.
        owner: The process that gives slots away.
        members: Serving members of the service.
        now_ms: Wall time of the owner.
        highest_accepted: Returns the highest issue time that the owner has
            accepted in a slot, or -1.

    Returns:
        The next table.
    """
    if any(_free_from_ms(slot, now_ms) is not None for slot in table.slots):
        # Members with fewer slots can claim the free ones instead.
        return table
    slot_counts = {member: table.owned_count(member) for member in members}
    slot_counts.pop(owner, None)
    slots = list(table.slots)
    owned = table.owned_count(owner)
    # Below an equal share, other members would transfer slots back.
    share = SLOT_COUNT // max(len(members), 1)
    for number, intervals in enumerate(slots):
        if not intervals or intervals[-1].owner != owner or not slot_counts:
            continue
        new_owner = min(
            slot_counts, key=lambda member: (slot_counts[member], member)
        )
        if owned <= share or owned - slot_counts[new_owner] < 2:
            break
        boundary_ms = max(
            now_ms + REBALANCE_LEAD_MS, highest_accepted(number) + 1
        )
        if not intervals[-1].from_ms < boundary_ms < intervals[-1].until_ms:
            continue
        slots[number] = _transfer_tail(intervals, boundary_ms, new_owner)
        slot_counts[new_owner] += 1
        owned -= 1
    return SlotTable(slots)


def hand_over(
    table: SlotTable,
    owner: SlotOwner,
    members: Collection[SlotOwner],
    highest_accepted: Callable[[int], int],
) -> SlotTable:
    """Transfers every issue time above the highest accepted one.

    Only the present owner may call this, after it has stopped accepting keys.

    Args:
        table: Present table.
        owner: The leaving process.
        members: Serving members of the service. The owner itself is ignored.
        highest_accepted: Returns the highest issue time that the owner has
            accepted in a slot, or -1.

    Returns:
        The next table; the present one if there are no other members.
    """
    slot_counts = {m: table.owned_count(m) for m in members if m != owner}
    if not slot_counts:
        return table
    slots = []
    for number, intervals in enumerate(table.slots):
        boundary_ms = highest_accepted(number) + 1
        slots.append(
            _reassign_intervals(intervals, owner, boundary_ms, slot_counts)
        )
    return SlotTable(slots)


def replace_dead_owner(
    table: SlotTable,
    dead: SlotOwner,
    members: Collection[SlotOwner],
    now_ms: int,
) -> SlotTable:
    """Transfers the intervals of a dead owner from a future issue time on.

    The caller must have proof that the process has ended: a newer incarnation
    at its address has completed the handshake. The records of the process are
    lost, so the boundary lies above every issue time that it can have
    accepted.

    Args:
        table: Present table.
        dead: The process that has ended.
        members: Serving members of the service.
        now_ms: Wall time of the writer, read after the proof.

    Returns:
        The next table.
    """
    slot_counts = {m: table.owned_count(m) for m in members if m != dead}
    if not slot_counts:
        return table
    boundary_ms = now_ms + REPLACEMENT_MARGIN_MS
    return SlotTable(
        _reassign_intervals(intervals, dead, boundary_ms, slot_counts)
        for intervals in table.slots
    )


def prune(
    table: SlotTable, now_ms: int, retention_ms: int = RETENTION_MS
) -> SlotTable:
    """Removes intervals that ended longer ago than the retention.

    The last interval of a slot stays in the table, because its end is the
    lowest issue time that may be granted next.
    """
    limit = now_ms - retention_ms - REPLACEMENT_MARGIN_MS
    return SlotTable(
        (*(i for i in slot[:-1] if i.until_ms > limit), *slot[-1:])
        for slot in table.slots
    )


def transfer_boundaries(
    before: SlotTable, after: SlotTable, owner: SlotOwner
) -> Mapping[int, int]:
    """Returns the first issue time of each slot that an owner loses.

    The owner must refuse issue times from there on before it writes `after`.

    Args:
        before: Present table.
        after: Next table.
        owner: Owner of intervals in `before`.

    Returns:
        The lowest lost issue time of each slot where the owner loses any.
    """
    lost_from_ms: dict[int, int] = {}
    for number in range(SLOT_COUNT):
        for interval in before.slots[number]:
            if interval.owner != owner:
                continue
            retained = _retained_until_ms(interval, after.slots[number])
            if retained < interval.until_ms:
                lost_from_ms[number] = min(
                    retained, lost_from_ms.get(number, retained)
                )
    return lost_from_ms


def stable_hash(owner: SlotOwner) -> int:
    """Returns a hash of an owner that is the same in every process."""
    return sum(owner.node_id.encode()) + owner.incarnation


def _retained_until_ms(
    old_interval: SlotInterval, new_intervals: SlotIntervals
) -> int:
    """Returns the first issue time of an interval that has another owner.

    Args:
        old_interval: Interval of the present table.
        new_intervals: Intervals of the slot in the next table.

    Returns:
        That issue time, or the end of the interval if there is none.
    """
    other_starts = [
        max(i.from_ms, old_interval.from_ms)
        for i in new_intervals
        if i.owner != old_interval.owner
        and i.from_ms < old_interval.until_ms
        and i.until_ms > old_interval.from_ms
    ]
    return min(other_starts, default=old_interval.until_ms)


def _free_from_ms(intervals: SlotIntervals, now_ms: int) -> int | None:
    """Returns the first issue time to grant, or None if the slot is owned."""
    if not intervals:
        return now_ms
    last = intervals[-1]
    return last.until_ms if last.until_ms <= now_ms else None


def _make_interval(
    owner: SlotOwner, from_ms: int, until_ms: int
) -> SlotInterval:
    return SlotInterval(owner.node_id, owner.incarnation, from_ms, until_ms)


def _transfer_tail(
    intervals: SlotIntervals, boundary_ms: int, new_owner: SlotOwner
) -> SlotIntervals:
    *earlier, last = intervals
    kept = _make_interval(last.owner, last.from_ms, boundary_ms)
    given = _make_interval(new_owner, boundary_ms, last.until_ms)
    return (*earlier, kept, given)


def _reassign_intervals(
    intervals: SlotIntervals,
    leaving: SlotOwner,
    boundary_ms: int,
    slot_counts: dict[SlotOwner, int],
) -> SlotIntervals:
    """Transfers the leaving owner's issue times from the boundary on.

    They go to the owner of the next interval if it is a member, otherwise to
    the member with the fewest slots.

    Args:
        intervals: Intervals of one slot.
        leaving: Owner that loses them.
        boundary_ms: First issue time to transfer.
        slot_counts: Number of slots of each member; updated here.

    Returns:
        The new intervals of the slot.
    """
    result: list[SlotInterval] = []
    for interval in reversed(intervals):
        if interval.owner != leaving or interval.until_ms <= boundary_ms:
            result.append(interval)
            continue
        start = max(boundary_ms, interval.from_ms)
        new_owner = result[-1].owner if result else None
        if new_owner not in slot_counts:
            new_owner = min(
                slot_counts, key=lambda member: (slot_counts[member], member)
            )
            slot_counts[new_owner] += 1
        assert new_owner is not None
        result.append(_make_interval(new_owner, start, interval.until_ms))
        if interval.from_ms < start:
            result.append(replace(interval, until_ms=start))
    return _merge_adjacent(tuple(reversed(result)))


def _merge_adjacent(intervals: SlotIntervals) -> SlotIntervals:
    """Merges adjacent intervals that have the same owner."""
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
