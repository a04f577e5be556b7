"""Codec of gossip datagrams: a Thrift struct in an authenticated envelope.

A datagram consists of the version (1 byte), the length of the key id (1 byte),
the key id, an HMAC-SHA256 tag over everything else (32 bytes) and a Thrift
`Gossip` struct in the binary protocol.
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
    MAX_CRASH_IDS,
    CrashSuspectEntry,
    GossipKind,
    GossipMessage,
    MemberRecord,
    MemberState,
    ViewSummary,
)

# Fits into one Ethernet frame with the IP and UDP headers.
MAX_DATAGRAM_BYTES = 1400

_VERSION = 1
_FIXED_HEADER_BYTES = 2
_DIGEST_HEX_CHARS = 8
_DIGESTS_PER_SUMMARY = 16
_MAX_PREFIX_CHARS = 2
_QUERY_FLAG, _REPLY_FLAG = "q", "r"


class DatagramFault(Enum):
    """Why a datagram is dropped; values are labels of the drop counter."""

    OVERSIZED = "oversized"
    BAD_ENVELOPE = "bad_envelope"
    BAD_TAG = "bad_tag"
    MALFORMED = "malformed"


def encode_datagram(
    message: GossipMessage, keys: ClusterKeys
) -> Result[bytes, DatagramFault]:
    """Encodes and signs a message; fails with `OVERSIZED` if it is too long."""
    payload = encode_struct(_to_wire(message))
    key_id = keys.key_ids[0].encode()
    header = bytes((_VERSION, len(key_id))) + key_id
    _, tag = keys.sign(header, payload)
    data = header + tag + payload
    if len(data) > MAX_DATAGRAM_BYTES:
        return Error(DatagramFault.OVERSIZED)
    return Ok(data)


def decode_datagram(
    data: bytes, keys: ClusterKeys
) -> Result[GossipMessage, DatagramFault]:
    """Verifies and decodes a datagram.

    The payload is parsed only if the tag is valid.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        return Error(DatagramFault.OVERSIZED)
    if len(data) < _FIXED_HEADER_BYTES or data[0] != _VERSION:
        return Error(DatagramFault.BAD_ENVELOPE)
    tag_start = _FIXED_HEADER_BYTES + data[1]
    payload_start = tag_start + TAG_BYTES
    if data[1] > MAX_KEY_ID_BYTES or len(data) < payload_start:
        return Error(DatagramFault.BAD_ENVELOPE)
    header, tag = data[:tag_start], data[tag_start:payload_start]
    payload = data[payload_start:]
    key_id = header[_FIXED_HEADER_BYTES:].decode("ascii", "replace")
    if not keys.verify(key_id, tag, header, payload):
        return Error(DatagramFault.BAD_TAG)
    return decode_payload(payload)


def decode_payload(payload: bytes) -> Result[GossipMessage, DatagramFault]:
    """Decodes and validates the Thrift part of a datagram."""
    try:
        return Ok(_from_wire(decode_struct(wire.Gossip(), payload)))
    except (FrameError, TProtocolException, ValueError, TypeError):
        # The generated structs raise TProtocolException for missing fields and
        # the records raise ValueError for invalid values. A field of the wrong
        # Thrift type decodes as None, which raises TypeError.
        return Error(DatagramFault.MALFORMED)


def _to_wire(message: GossipMessage) -> wire.Gossip:
    target = message.target
    if message.summary is not None:
        target = _encode_summary(message.summary)
    return wire.Gossip(
        message.sender,
        message.sequence,
        int(message.kind),
        target,
        [_member_to_wire(record) for record in message.updates],
        message.generation,
        [
            wire.CrashSuspect(
                note.fingerprint,
                note.crashes,
                note.ttl_ms,
                list(note.crash_ids) or None,
            )
            for note in message.suspects
        ],
    )


def _from_wire(gossip: wire.Gossip) -> GossipMessage:
    kind = GossipKind(gossip.kind)
    target: str | None = gossip.target
    summary = None
    if kind is GossipKind.PUSH and target is not None:
        summary, target = _decode_summary(target), None
    if not gossip.sender or gossip.generation < 0:
        raise ValueError(
            "gossip message has no sender or a negative generation"
        )
    return GossipMessage(
        gossip.sender,
        gossip.sequence,
        kind,
        target,
        tuple([_member_from_wire(member) for member in gossip.updates]),
        gossip.generation,
        tuple([_suspect_from_wire(note) for note in gossip.suspects]),
        summary,
    )


def _suspect_from_wire(note: wire.CrashSuspect) -> CrashSuspectEntry:
    note.validate()
    crash_ids = tuple(note.crash_ids or ())
    if len(crash_ids) > MAX_CRASH_IDS:
        raise ValueError(f"crash suspect has {len(crash_ids)} crash ids")
    return CrashSuspectEntry(
        note.fingerprint, note.crashes, note.ttl_ms, crash_ids
    )


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
        record.platform_lost or None,
        record.failure_percent or None,
        record.upstream_digest or None,
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
        bool(member.platform_lost),
        member.failure_percent or 0,
        member.upstream_digest or 0,
    )


def _encode_summary(summary: ViewSummary) -> str:
    """Encodes a summary as text, which a PUSH carries in its target field."""
    flag = _REPLY_FLAG if summary.is_reply else _QUERY_FLAG
    digests = "".join(f"{digest:08x}" for digest in summary.digests)
    return f"{flag}:{summary.prefix}:{digests}"


def _decode_summary(text: str) -> ViewSummary:
    flag, prefix, digests = text.split(":")
    if (
        flag not in (_QUERY_FLAG, _REPLY_FLAG)
        or len(prefix) > _MAX_PREFIX_CHARS
    ):
        raise ValueError(
            f"view summary has an invalid flag or prefix: {text[:8]!r}"
        )
    if len(digests) != _DIGESTS_PER_SUMMARY * _DIGEST_HEX_CHARS:
        raise ValueError(
            f"view summary has digests of wrong length: {len(digests)} digits"
        )
    if prefix:
        _parse_hex(prefix)
    return ViewSummary(
        prefix,
        tuple(
            _parse_hex(digests[start : start + _DIGEST_HEX_CHARS])
            for start in range(0, len(digests), _DIGEST_HEX_CHARS)
        ),
        flag == _REPLY_FLAG,
    )


def _parse_hex(text: str) -> int:
    # int() also accepts signs, spaces and underscores.
    if not text.isalnum() or not text.isascii():
        raise ValueError(f"{text!r} is not hexadecimal")
    return int(text, 16)
