"""Gossip messages and their sizes on the wire."""

import dataclasses
from collections.abc import Iterable
from enum import IntEnum

from radishtray_state._member import MemberRecord


class GossipKind(IntEnum):
    """Purpose of a gossip message; mirrors wire.thrift."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    PUSH = 3


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectNote:
    """A request fingerprint that crashed upstreams."""

    fingerprint: int
    """Signed 64-bit digest of service, kind, path and body."""

    crashes: int
    """Number of crashes counted for it."""

    ttl_ms: int
    """Remaining time until the note expires."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewSummary:
    """Digests of the 16 children of one node of the view's digest tree."""

    prefix: str
    """Hexadecimal path from the root; empty for the root."""

    digests: tuple[int, ...]
    """32-bit digests of the children in order; 0 stands for no live member."""

    is_reply: bool
    """Whether it answers a summary of the same prefix and gets no other."""


@dataclasses.dataclass(frozen=True, slots=True)
class GossipMessage:
    """One datagram between two members."""

    sender: str
    """Node id of the sender."""

    sequence: int
    """Number by which an ack names its ping."""

    kind: GossipKind
    """Purpose of the message."""

    target: str | None
    """Node that a ping, ack or ping request is about."""

    updates: tuple[MemberRecord, ...]
    """Piggybacked records."""

    generation: int
    """Highest configuration generation that the sender has."""

    suspects: tuple[SuspectNote, ...]
    """Crash suspects that the sender passes on."""

    summary: ViewSummary | None = None
    """Digests for the repair of differences; only with PUSH."""


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """A message and where to send it."""

    address: str
    """Destination as ip:port."""

    message: GossipMessage
    """What to send."""


# Sizes of the Thrift binary protocol: a field header takes 3 bytes, the end of
# a struct 1, the length of a string 4, and the head of a list 5.
_RECORD_FIXED_BYTES = 11 * 3 + 1 + 5 * 4 + 8 + 4 + 8 + 4 + 1 + 1
SUSPECT_NOTE_BYTES = 3 * 3 + 1 + 8 + 2 + 4
_MESSAGE_FIXED_BYTES = 8 * 3 + 1 + 2 * 4 + 8 + 4 + 5 + 8 + 5 + 8
SUMMARY_TEXT_BYTES = 2 + 3 + 16 * 8  # Flag, colons, longest prefix, digests.
MAX_SUSPECT_NOTES = 8  # 200 bytes, so that members keep most of a datagram.


def record_bytes(record: MemberRecord) -> int:
    """Returns the encoded size of a record in a message."""
    return _RECORD_FIXED_BYTES + sum(
        len(text) if text.isascii() else len(text.encode())
        for text in record.texts()
    )


def total_bytes(records: Iterable[MemberRecord]) -> int:
    """Returns the encoded size of several records."""
    return sum(record_bytes(record) for record in records)


def message_head_bytes(sender: str, target: str | None, notes: int) -> int:
    """Returns an upper bound of a message's size without its updates."""
    names = len(sender.encode()) + len((target or "").encode())
    return _MESSAGE_FIXED_BYTES + names + notes * SUSPECT_NOTE_BYTES
