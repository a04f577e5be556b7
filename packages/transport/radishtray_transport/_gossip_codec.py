"""Gossip datagrams: Thrift encoding inside an authenticated envelope.

Envelope: version (1 byte), length of the key id (1 byte), key id, HMAC-SHA256
tag of everything else (32 bytes), Thrift `Gossip` in the binary protocol.
"""

from enum import Enum

from expression import Error, Ok, Result
from thrift.protocol.TProtocol import TProtocolException

from radishtray_protocol import (
    MAX_KEY_ID_BYTES,
    TAG_BYTES,
    ClusterKeys,
    FrameError,
    decode_struct,
    encode_struct,
    wire,
)
from radishtray_state import (
    CrashSuspectEntry,
    GossipKind,
    GossipMessage,
    MemberRecord,
    MemberState,
    ViewSummary,
)

MAX_DATAGRAM_BYTES = 1400  # Below the payload of an Ethernet frame.

_VERSION = 1
_HEAD_BYTES = 2
_DIGEST_CHARS = 8
_CHILDREN = 16
_MAX_PREFIX_CHARS = 2
_QUERY, _REPLY = "q", "r"


class DatagramFault(Enum):
    """Why a datagram is dropped; the value is the label of its counter."""

    OVERSIZED = "oversized"
    BAD_ENVELOPE = "bad_envelope"
    BAD_TAG = "bad_tag"
    MALFORMED = "malformed"


def encode_datagram(
    message: GossipMessage, keys: ClusterKeys
) -> Result[bytes, DatagramFault]:
    """Returns the signed datagram, or OVERSIZED if it is too long."""
    payload = encode_struct(_to_wire(message))
    key_id = keys.key_ids[0].encode()
    head = bytes((_VERSION, len(key_id))) + key_id
    _, tag = keys.sign(head, payload)
    data = head + tag + payload
    if len(data) > MAX_DATAGRAM_BYTES:
        return Error(DatagramFault.OVERSIZED)
    return Ok(data)


def decode_datagram(
    data: bytes, keys: ClusterKeys
) -> Result[GossipMessage, DatagramFault]:
    """Verifies and decodes a datagram; nothing is parsed before its tag."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return Error(DatagramFault.OVERSIZED)
    if len(data) < _HEAD_BYTES or data[0] != _VERSION:
        return Error(DatagramFault.BAD_ENVELOPE)
    tag_at = _HEAD_BYTES + data[1]
    payload_at = tag_at + TAG_BYTES
    if data[1] > MAX_KEY_ID_BYTES or len(data) < payload_at:
        return Error(DatagramFault.BAD_ENVELOPE)
    head, tag = data[:tag_at], data[tag_at:payload_at]
    payload = data[payload_at:]
    key_id = head[_HEAD_BYTES:].decode("ascii", "replace")
    if not keys.verify(key_id, tag, head, payload):
        return Error(DatagramFault.BAD_TAG)
    return decode_payload(payload)


def decode_payload(payload: bytes) -> Result[GossipMessage, DatagramFault]:
    """Decodes and validates the Thrift part of a datagram."""
    try:
        return Ok(_from_wire(decode_struct(wire.Gossip(), payload)))
    except (FrameError, TProtocolException, ValueError, TypeError):
        # The generated structs report missing fields by TProtocolException,
        # the records validate by ValueError, and a field of the wrong Thrift
        # type decodes as None and fails by TypeError.
        return Error(DatagramFault.MALFORMED)


def _to_wire(message: GossipMessage) -> wire.Gossip:
    target = message.target
    if message.summary is not None:
        target = _summary_text(message.summary)
    return wire.Gossip(
        message.sender,
        message.sequence,
        int(message.kind),
        target,
        [_member_to_wire(record) for record in message.updates],
        message.generation,
        [
            wire.CrashSuspect(note.fingerprint, note.crashes, note.ttl_ms)
            for note in message.suspects
        ],
    )


def _from_wire(gossip: wire.Gossip) -> GossipMessage:
    kind = GossipKind(gossip.kind)
    target: str | None = gossip.target
    summary = None
    if kind is GossipKind.PUSH and target is not None:
        summary, target = _parse_summary(target), None
    if not gossip.sender or gossip.generation < 0:
        raise ValueError("a message needs a sender and a generation from 0")
    return GossipMessage(
        gossip.sender,
        gossip.sequence,
        kind,
        target,
        tuple([_member_from_wire(member) for member in gossip.updates]),
        gossip.generation,
        tuple([_note_from_wire(note) for note in gossip.suspects]),
        summary,
    )


def _note_from_wire(note: wire.CrashSuspect) -> CrashSuspectEntry:
    note.validate()
    return CrashSuspectEntry(note.fingerprint, note.crashes, note.ttl_ms)


def _member_to_wire(record: MemberRecord) -> wire.Member:
    return wire.Member(
        record.node_id,
        record.incarnation,
        int(record.state),
        record.version,
        record.gossip_address,
        record.node_address,
        record.failure_domain,
        record.service_name,
        record.slots,
        record.serving,
        record.draining,
    )


def _member_from_wire(member: wire.Member) -> MemberRecord:
    member.validate()
    return MemberRecord(
        member.node_id,
        member.incarnation,
        MemberState(member.state),
        member.version,
        member.gossip_address,
        member.node_address,
        member.failure_domain,
        member.service_name,
        member.slots,
        bool(member.serving),
        bool(member.draining),
    )


def _summary_text(summary: ViewSummary) -> str:
    """Returns the text that a PUSH carries in place of a target."""
    flag = _REPLY if summary.is_reply else _QUERY
    digests = "".join(f"{digest:08x}" for digest in summary.digests)
    return f"{flag}:{summary.prefix}:{digests}"


def _parse_summary(text: str) -> ViewSummary:
    flag, prefix, digests = text.split(":")
    if flag not in (_QUERY, _REPLY) or len(prefix) > _MAX_PREFIX_CHARS:
        raise ValueError(f"malformed view summary {text[:8]!r}")
    if len(digests) != _CHILDREN * _DIGEST_CHARS:
        raise ValueError(f"a view summary has {len(digests)} digits")
    if prefix:
        _parse_hex(prefix)
    return ViewSummary(
        prefix,
        tuple(
            _parse_hex(digests[at : at + _DIGEST_CHARS])
            for at in range(0, len(digests), _DIGEST_CHARS)
        ),
        flag == _REPLY,
    )


def _parse_hex(text: str) -> int:
    # int() alone also accepts signs, spaces and underscores.
    if not text.isalnum() or not text.isascii():
        raise ValueError(f"{text!r} is not hexadecimal")
    return int(text, 16)
