"""Guards against tables that grant an issue time to two owners."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_state import (
    SLOT_COUNT,
    SlotOwner,
    SlotTable,
    claim_free,
    extend_horizon,
    hand_over,
    prune,
    rebalance,
    replace_dead,
)

OWNERS = [SlotOwner(f"n{i}", 1) for i in range(4)]
START_MS = 1_700_000_000_000
MARGIN_MS = 65_000
PROBES = [0, 4_999, 65_000, 120_000, 3_599_999, 9_000_000]


def granted(table: SlotTable, moment: int) -> list[SlotOwner | None]:
    found = (table.interval_of(slot, moment) for slot in range(SLOT_COUNT))
    return [interval.owner if interval else None for interval in found]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 30), st.integers(5, 25))
def test_granted_issue_times_move_only_when_proven_unaccepted(
    seed: int, steps: int
) -> None:
    rng = Random(seed)
    now, table = START_MS, SlotTable()
    for _ in range(steps):
        now += rng.choice([0, 1_000, 60_000, 900_000, 4_000_000])
        me = rng.choice(OWNERS)
        members = rng.sample(OWNERS, rng.randint(1, 4))
        highest = now + rng.randint(-500_000, 5_000)
        accepted = dict.fromkeys(range(SLOT_COUNT), highest).__getitem__
        # Each entry: the next table, and the first issue time it may move.
        step, free_from = rng.choice(
            [
                (claim_free(table, me, len(members), now), None),
                (extend_horizon(table, me, now), None),
                (prune(table, now), None),
                (
                    rebalance(table, me, members, now, accepted),
                    highest,
                ),
                (hand_over(table, me, members, accepted), highest),
                (replace_dead(table, me, members, now), now + MARGIN_MS - 1),
            ]
        )
        for moment in [START_MS + p for p in PROBES] + [
            now + p for p in PROBES
        ]:
            for old, new in zip(
                granted(table, moment), granted(step, moment), strict=True
            ):
                moved = old is not None and new is not None and old != new
                may_move = free_from is not None and old == me
                assert not moved or (may_move and moment > free_from)
        for old_slot, new_slot in zip(table.slots, step.slots, strict=True):
            # An end that is forgotten could be granted again.
            assert (
                not old_slot or new_slot[-1].until_ms >= old_slot[-1].until_ms
            )
        table = step


def test_shares_become_equal_and_boundaries_lie_ahead() -> None:
    table = claim_free(SlotTable(), OWNERS[0], 1, START_MS)
    table = rebalance(table, OWNERS[0], OWNERS, START_MS, lambda _: START_MS)
    assert [table.owned_count(owner) for owner in OWNERS] == [16] * 4
    assert granted(table, START_MS + 9_999) == [OWNERS[0]] * SLOT_COUNT


def test_claims_share_free_slots_and_leave_no_gap() -> None:
    table = SlotTable()
    for owner in OWNERS[:3]:
        table = claim_free(table, owner, 3, START_MS)
    assert [table.owned_count(owner) for owner in OWNERS[:3]] == [22, 22, 20]
    later = START_MS + 9_000_000
    table = claim_free(table, OWNERS[3], 1, later)
    assert granted(table, START_MS + 3_600_000) == [OWNERS[3]] * SLOT_COUNT


def test_hand_over_without_members_keeps_the_table() -> None:
    table = claim_free(SlotTable(), OWNERS[0], 1, START_MS)
    assert hand_over(table, OWNERS[0], OWNERS[:1], lambda _: -1) == table
    left = hand_over(table, OWNERS[0], OWNERS[:2], lambda _: START_MS + 9)
    assert granted(left, START_MS + 9) == [OWNERS[0]] * SLOT_COUNT
    assert granted(left, START_MS + 10) == [OWNERS[1]] * SLOT_COUNT
    heir = left.heir(0, START_MS + 9, lambda owner: owner != OWNERS[0])
    assert heir == OWNERS[1]
