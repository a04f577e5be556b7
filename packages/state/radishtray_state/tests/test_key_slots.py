"""Guards against tables that grant an issue time to two owners.

Both owners would run a key with that issue time.
"""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_state import (
    SLOT_COUNT,
    SlotOwner,
    SlotTable,
    claim_free_slots,
    extend_horizon,
    hand_over,
    prune,
    rebalance,
    replace_dead_owner,
)

OWNERS = [SlotOwner(f"n{i}", 1) for i in range(4)]
START_MS = 1_700_000_000_000
MARGIN_MS = 65_000
PROBE_OFFSETS_MS = [0, 4_999, 65_000, 120_000, 3_599_999, 9_000_000]


def owners_at(table: SlotTable, issued_ms: int) -> list[SlotOwner | None]:
    found = (table.interval_of(slot, issued_ms) for slot in range(SLOT_COUNT))
    return [interval.owner if interval else None for interval in found]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 30), st.integers(5, 25))
def test_issue_time_changes_owner_only_if_it_cannot_have_been_accepted(
    seed: int, steps: int
) -> None:
    rng = Random(seed)
    now, table = START_MS, SlotTable()
    for _ in range(steps):
        now += rng.choice([0, 1_000, 60_000, 900_000, 4_000_000])
        owner = rng.choice(OWNERS)
        members = rng.sample(OWNERS, rng.randint(1, 4))
        highest_accepted_ms = now + rng.randint(-500_000, 5_000)
        accepted = dict.fromkeys(
            range(SLOT_COUNT), highest_accepted_ms
        ).__getitem__
        # Each entry: the next table, and the issue time above which issue
        # times of `owner` may change their owner; None if none may.
        next_table, movable_above_ms = rng.choice(
            [
                (claim_free_slots(table, owner, len(members), now), None),
                (extend_horizon(table, owner, now), None),
                (prune(table, now), None),
                (
                    rebalance(table, owner, members, now, accepted),
                    highest_accepted_ms,
                ),
                (
                    hand_over(table, owner, members, accepted),
                    highest_accepted_ms,
                ),
                (
                    replace_dead_owner(table, owner, members, now),
                    now + MARGIN_MS - 1,
                ),
            ]
        )
        for issued_ms in [START_MS + p for p in PROBE_OFFSETS_MS] + [
            now + p for p in PROBE_OFFSETS_MS
        ]:
            for old, new in zip(
                owners_at(table, issued_ms),
                owners_at(next_table, issued_ms),
                strict=True,
            ):
                moved = old is not None and new is not None and old != new
                may_move = movable_above_ms is not None and old == owner
                assert not moved or (may_move and issued_ms > movable_above_ms)
        for old_slot, new_slot in zip(
            table.slots, next_table.slots, strict=True
        ):
            # If the last end moved back, issue times could be granted twice.
            assert (
                not old_slot or new_slot[-1].until_ms >= old_slot[-1].until_ms
            )
        table = next_table


def test_rebalance_equalizes_slot_counts_from_a_future_issue_time() -> None:
    table = claim_free_slots(SlotTable(), OWNERS[0], 1, START_MS)
    table = rebalance(table, OWNERS[0], OWNERS, START_MS, lambda _: START_MS)
    assert [table.owned_count(owner) for owner in OWNERS] == [16] * 4
    assert owners_at(table, START_MS + 9_999) == [OWNERS[0]] * SLOT_COUNT


def test_claims_share_free_slots_and_start_at_the_last_end() -> None:
    table = SlotTable()
    for owner in OWNERS[:3]:
        table = claim_free_slots(table, owner, 3, START_MS)
    assert [table.owned_count(owner) for owner in OWNERS[:3]] == [22, 22, 20]
    later = START_MS + 9_000_000
    table = claim_free_slots(table, OWNERS[3], 1, later)
    assert owners_at(table, START_MS + 3_600_000) == [OWNERS[3]] * SLOT_COUNT


def test_hand_over_needs_a_member_and_keeps_accepted_issue_times() -> None:
    table = claim_free_slots(SlotTable(), OWNERS[0], 1, START_MS)
    assert hand_over(table, OWNERS[0], OWNERS[:1], lambda _: -1) == table
    handed_over = hand_over(
        table, OWNERS[0], OWNERS[:2], lambda _: START_MS + 9
    )
    assert owners_at(handed_over, START_MS + 9) == [OWNERS[0]] * SLOT_COUNT
    assert owners_at(handed_over, START_MS + 10) == [OWNERS[1]] * SLOT_COUNT
    successor = handed_over.live_successor(
        0, START_MS + 9, lambda owner: owner != OWNERS[0]
    )
    assert successor == OWNERS[1]
