"""JSON of the platform object `keys/<service>`.

    {"format": 1, "revision": 12,
     "owners": [["node-a", 7], ...],
     "slots": [[[0, 1700000000000, 1700003600000], ...], ...]}

Each interval names its owner by index, which keeps the object small.
"""

import json
from dataclasses import dataclass
from typing import Any, Final

from expression import Error, Ok, Result

from radishtray_state import SlotInterval, SlotOwner, SlotTable

_FORMAT: Final = 1


@dataclass(frozen=True, slots=True)
class SlotCodecError:
    """Bytes that are not a slot table."""

    position: str
    """Where the fault is: an offset or a path such as `slots[3][0]`."""

    detail: str
    """What is wrong there."""

    def __str__(self) -> str:
        """Returns the message for logs."""
        return f"slot table, {self.position}: {self.detail}"


def encode_slot_table(table: SlotTable) -> bytes:
    """Returns the JSON of a table; equal tables give equal bytes."""
    owners = sorted({i.owner for slot in table.slots for i in slot})
    index = {owner: number for number, owner in enumerate(owners)}
    document = {
        "format": _FORMAT,
        "revision": table.revision,
        "owners": [[o.node_id, o.incarnation] for o in owners],
        "slots": [
            [[index[i.owner], i.from_ms, i.until_ms] for i in slot]
            for slot in table.slots
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_slot_table(data: bytes) -> Result[SlotTable, SlotCodecError]:
    """Reads the JSON of a table.

    Args:
        data: Value of the platform object.

    Returns:
        The table, or the first fault with its position.
    """
    try:
        document = json.loads(data)
    except json.JSONDecodeError as error:
        return Error(SlotCodecError(f"offset {error.pos}", error.msg))
    except UnicodeDecodeError as error:
        return Error(SlotCodecError(f"offset {error.start}", error.reason))
    try:
        return Ok(_read_table(document))
    except _SlotDecodeError as fault:
        return Error(fault.error)
    except ValueError as error:
        return Error(SlotCodecError("slots", str(error)))


class _SlotDecodeError(Exception):
    """Carries a codec error out of nested calls."""

    def __init__(self, position: str, detail: str) -> None:
        super().__init__(detail)
        self.error = SlotCodecError(position, detail)


def _read_table(document: Any) -> SlotTable:
    if not isinstance(document, dict) or document.get("format") != _FORMAT:
        raise _SlotDecodeError("format", f"the format is not {_FORMAT}")
    revision = document.get("revision")
    if not isinstance(revision, int) or revision < 0:
        raise _SlotDecodeError("revision", "a number from 0 on is expected")
    owners = [
        _read_owner(f"owners[{number}]", entry)
        for number, entry in enumerate(
            _read_list("owners", document.get("owners"))
        )
    ]
    slots = _read_list("slots", document.get("slots"))
    if not slots:
        raise _SlotDecodeError("slots", "no slots are listed")
    intervals = [
        [
            _read_interval(f"slots[{number}][{place}]", entry, owners)
            for place, entry in enumerate(_read_list(f"slots[{number}]", slot))
        ]
        for number, slot in enumerate(slots)
    ]
    return SlotTable(intervals, revision)


def _read_list(position: str, value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise _SlotDecodeError(position, "a list is expected")
    return value


def _read_owner(position: str, entry: Any) -> SlotOwner:
    match entry:
        case [str(node_id), int(incarnation)] if node_id:
            return SlotOwner(node_id, incarnation)
    raise _SlotDecodeError(position, "[node id, incarnation] is expected")


def _read_interval(
    position: str, entry: Any, owners: list[SlotOwner]
) -> SlotInterval:
    match entry:
        case [int(index), int(from_ms), int(until_ms)]:
            pass
        case _:
            raise _SlotDecodeError(position, "[owner, from, until] is expected")
    if not 0 <= index < len(owners):
        raise _SlotDecodeError(position, f"owner {index} is not listed")
    if not 0 <= from_ms < until_ms:
        raise _SlotDecodeError(position, f"[{from_ms}, {until_ms}) is empty")
    owner = owners[index]
    return SlotInterval(owner.node_id, owner.incarnation, from_ms, until_ms)
