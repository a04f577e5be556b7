"""Slot table codec: round trip, and rejection of invalid tables.

A table that changed in the codec, or an invalid one that was accepted, could
give a slot two owners at the same time.
"""

import json

import pytest

from radishtray_protocol import decode_slot_table, encode_slot_table
from radishtray_state import SlotOwner, SlotTable, claim_free_slots

EMPTY_SLOTS = [[] for _ in range(64)]

INVALID_TABLES = {
    "not JSON": (b"{", "offset 1"),
    "not UTF-8": (b"\xff\xff\xff", "offset 0"),
    "not an object": (b"[]", "format"),
    "another format": (b'{"format": 2}', "format"),
    "no revision": (b'{"format": 1}', "revision"),
    "no owners": ({"owners": None}, "owners"),
    "owner without id": ({"owners": [["", 1]]}, "owners[0]"),
    "few slots": ({"slots": [[]]}, "slots"),
    "slot is no list": ({"slots": [1, *EMPTY_SLOTS[1:]]}, "slots[0]"),
    "owner not listed": (
        {"slots": [[[1, 0, 1]], *EMPTY_SLOTS[1:]]},
        "slots[0][0]",
    ),
    "empty interval": (
        {"slots": [[[0, 1, 1]], *EMPTY_SLOTS[1:]]},
        "slots[0][0]",
    ),
    "text bound": ({"slots": [[[0, "0", 1]], *EMPTY_SLOTS[1:]]}, "slots[0][0]"),
    "overlap": ({"slots": [[[0, 0, 2], [0, 1, 3]], *EMPTY_SLOTS[1:]]}, "slots"),
}


@pytest.mark.parametrize(
    ("invalid", "position"), INVALID_TABLES.values(), ids=INVALID_TABLES
)
def test_invalid_table_is_an_error_with_its_position(
    invalid: bytes | dict[str, object], position: str
) -> None:
    valid = {
        "format": 1,
        "revision": 1,
        "owners": [["a", 1]],
        "slots": EMPTY_SLOTS,
    }
    is_raw = isinstance(invalid, bytes)
    data = invalid if is_raw else json.dumps({**valid, **invalid}).encode()
    assert decode_slot_table(data).error.position == position


def test_round_trip_preserves_a_slot_table() -> None:
    table = claim_free_slots(SlotTable(), SlotOwner("a", 1), 2, 1_000)
    table = claim_free_slots(table, SlotOwner("b", 1 << 62), 2, 2_000)
    table = SlotTable(table.slots, 7)
    decoded = decode_slot_table(encode_slot_table(table)).ok
    assert decoded == table and decoded.revision == 7
