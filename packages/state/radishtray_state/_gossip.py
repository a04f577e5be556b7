"""Gossip messages and their encoded sizes."""

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
    HEARTBEAT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSuspectEntry:
    """A request fingerprint that is suspected to crash upstreams.

    It is unrelated to the state `SUSPECT` of a member.
    """

    fingerprint: int
    """Signed 64-bit digest of service, kind, path and body."""

    crashes: int
    """Number of upstream crashes attributed to the fingerprint."""

    ttl_ms: int
    """Milliseconds until the entry expires."""

    crash_ids: tuple[int, ...] = ()
    """Ids of up to `MAX_CRASH_IDS` crashes that the entry is about."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewSummary:
    """Digests of the 16 children of one node of the digest tree of a view."""

    prefix: str
    """Hexadecimal path from the root; empty for the root."""

    digests: tuple[int, ...]
    """32-bit digests of the children in order; 0 if no live member is below."""

    is_reply: bool
    """Whether it answers a summary of the same prefix.

    A reply is not answered by another summary.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class GossipMessage:
    """One datagram between two members."""

    sender: str
    """Node id of the sender."""

    sequence: int
    """Sequence number; an ack has that of the ping that it answers."""

    kind: GossipKind
    """Purpose of the message."""

    target: str | None
    """Node id of the probed node; None in a push and a ping to an address."""

    updates: tuple[MemberRecord, ...]
    """Member records that the message carries."""

    generation: int
    """Configuration generation of the sender."""

    suspects: tuple[CrashSuspectEntry, ...]
    """Crash suspects that the sender knows."""

    summary: ViewSummary | None = None
    """Digests for the repair of differences between views; only in a PUSH."""


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """A message and its destination."""

    address: str
    """Gossip address of the destination as ip:port."""

    message: GossipMessage
    """Message to send."""


# Sizes in the Thrift binary protocol: a field header takes 3 bytes, the end of
# a struct 1, the length of a string 4, and the header of a list 5.
_FIXED_RECORD_BYTES = 14 * 3 + 1 + 5 * 4 + 8 + 4 + 8 + 4 + 1 + 1 + 1 + 2 + 8
MAX_CRASH_IDS = 3
CRASH_SUSPECT_BYTES = 3 * 3 + 1 + 8 + 2 + 4 + 3 + 5 + MAX_CRASH_IDS * 8
_FIXED_MESSAGE_BYTES = 8 * 3 + 1 + 2 * 4 + 8 + 4 + 5 + 8 + 5 + 8
MAX_SUMMARY_BYTES = 2 + 3 + 16 * 8  # Flag, colons, prefix, digests.
MAX_CRASH_SUSPECTS = 8  # 448 bytes; leaves most of a datagram to records.


def record_bytes(record: MemberRecord) -> int:
    """Returns the encoded size of a record in a message."""
    return _FIXED_RECORD_BYTES + sum(
        len(value) if value.isascii() else len(value.encode())
        for value in record.string_fields()
    )


def total_record_bytes(records: Iterable[MemberRecord]) -> int:
    """Returns the sum of the encoded sizes of records."""
    return sum(record_bytes(record) for record in records)


def max_message_head_bytes(
    sender: str, target: str | None, crash_suspect_count: int
) -> int:
    """Returns an upper bound of the size of a message without its records."""
    node_id_bytes = len(sender.encode()) + len((target or "").encode())
    return (
        _FIXED_MESSAGE_BYTES
        + node_id_bytes
        + crash_suspect_count * CRASH_SUSPECT_BYTES
    )
