"""Codec of the slot table, which assigns a service's key slots to owners.

The platform object `keys/<service>` holds the table as JSON:

    {"format": 1, "revision": 12,
     "owners": [["node-a", 7], ...],
     "slots": [[[0, 1700000000000, 1700003600000], ...], ...]}

A slot is a list of intervals `[owner index, from_ms, until_ms]`, with the end
excluded. The index refers to `owners`, whose entries are `[node id,
incarnation]`; this keeps the object small.
"""

import json
from dataclasses import dataclass
from typing import Any, Final

from expression import Error, Ok, Result

from radishtray_state import SlotInterval, SlotOwner, SlotTable

_FORMAT: Final = 1


@dataclass(frozen=True, slots=True)
class SlotCodecError:
    """Why bytes are not a valid slot table."""

    position: str
    """Position of the error: an offset or a path such as `slots[3][0]`."""

    detail: str
    """What is wrong at the position."""

    def __str__(self) -> str:
        """Returns the message for logs."""
        return f"slot table, {self.position}: {self.detail}"


def encode_slot_table(table: SlotTable) -> bytes:
    """Encodes a table as JSON; equal tables give equal bytes."""
    owners = sorted(
        {interval.owner for slot in table.slots for interval in slot}
    )
    owner_indexes = {owner: index for index, owner in enumerate(owners)}
    document = {
        "format": _FORMAT,
        "revision": table.revision,
        "owners": [
            [slot_owner.node_id, slot_owner.incarnation]
            for slot_owner in owners
        ],
        "slots": [
            [
                [
                    owner_indexes[interval.owner],
                    interval.from_ms,
                    interval.until_ms,
                ]
                for interval in slot
            ]
            for slot in table.slots
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_slot_table(data: bytes) -> Result[SlotTable, SlotCodecError]:
    """Parses and validates the JSON of a table.

    Args:
        data: Value of the platform object.

    Returns:
        The table, or the first error with its position.
    """
    try:
        document = json.loads(data)
    except json.JSONDecodeError as error:
        return Error(SlotCodecError(f"offset {error.pos}", error.msg))
    except UnicodeDecodeError as error:
        return Error(SlotCodecError(f"offset {error.start}", error.reason))
    try:
        return Ok(_read_table(document))
    except _SlotDecodeError as decode_error:
        return Error(decode_error.error)
    except ValueError as error:
        return Error(SlotCodecError("slots", str(error)))


class _SlotDecodeError(Exception):
    """Carries a SlotCodecError out of nested calls."""

    def __init__(self, position: str, detail: str) -> None:
        super().__init__(detail)
        self.error = SlotCodecError(position, detail)


def _read_table(document: Any) -> SlotTable:
    if not isinstance(document, dict) or document.get("format") != _FORMAT:
        raise _SlotDecodeError(
            "format", f"expected an object of format {_FORMAT}"
        )
    revision = document.get("revision")
    if not isinstance(revision, int) or revision < 0:
        raise _SlotDecodeError(
            "revision", "expected a whole number of at least 0"
        )
    owners = [
        _read_owner(f"owners[{index}]", entry)
        for index, entry in enumerate(
            _read_list("owners", document.get("owners"))
        )
    ]
    slots = _read_list("slots", document.get("slots"))
    if not slots:
        raise _SlotDecodeError("slots", "expected at least one slot")
    intervals = [
        [
            _read_interval(f"slots[{index}][{interval_index}]", entry, owners)
            for interval_index, entry in enumerate(
                _read_list(f"slots[{index}]", slot)
            )
        ]
        for index, slot in enumerate(slots)
    ]
    return SlotTable(intervals, revision)


def _read_list(position: str, value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise _SlotDecodeError(position, "expected a list")
    return value


def _read_owner(position: str, entry: Any) -> SlotOwner:
    match entry:
        case [str(node_id), int(incarnation)] if node_id:
            return SlotOwner(node_id, incarnation)
    raise _SlotDecodeError(position, "expected [node id, incarnation]")


def _read_interval(
    position: str, entry: Any, owners: list[SlotOwner]
) -> SlotInterval:
    match entry:
        case [int(index), int(from_ms), int(until_ms)]:
            pass
        case _:
            raise _SlotDecodeError(
                position, "expected [owner index, from_ms, until_ms]"
            )
    if not 0 <= index < len(owners):
        raise _SlotDecodeError(
            position, f"owner index {index} is not in the list of owners"
        )
    if not 0 <= from_ms < until_ms:
        raise _SlotDecodeError(
            position,
            f"interval [{from_ms}, {until_ms}) is empty or starts before 0",
        )
    owner = owners[index]
    return SlotInterval(owner.node_id, owner.incarnation, from_ms, until_ms)
