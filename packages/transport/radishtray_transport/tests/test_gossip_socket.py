"""Tests that the gossip socket drops forged, corrupted and oversized datagrams.

Invalid datagrams must be counted by fault and must not raise or be passed on.
"""

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import reactor

from radishtray_protocol import ClusterKeys, encode_struct, wire
from radishtray_state import (
    CrashSuspectEntry,
    Datagram,
    GossipKind,
    GossipMessage,
    ManualClock,
    MemberRecord,
    Membership,
    MemberState,
    ViewSummary,
)
from radishtray_state._gossip import record_bytes
from radishtray_testing import member_record
from radishtray_transport import (
    MAX_DATAGRAM_BYTES,
    DatagramFault,
    GossipSocket,
    decode_datagram,
    decode_payload,
    encode_datagram,
)

KEYS = ClusterKeys.parse("k1:" + "01" * 32 + ",k2:" + "02" * 32).ok
OTHER_KEYS = ClusterKeys.parse("k1:" + "03" * 32).ok

DETERMINISTIC = settings(deadline=None, derandomize=True, max_examples=200)
NUMBERS = st.integers(0, 2**63 - 1)
TEXTS = st.text(max_size=16)
RECORDS = st.builds(
    MemberRecord,
    node_id=st.text(min_size=1, max_size=16),
    incarnation=NUMBERS,
    state=st.sampled_from(MemberState),
    version=NUMBERS,
    gossip_address=TEXTS,
    node_address=TEXTS,
    failure_domain=TEXTS,
    service_name=TEXTS,
    slots=st.integers(0, 2**31 - 1),
    serving=st.booleans(),
    draining=st.booleans(),
    platform_lost=st.booleans(),
    failure_percent=st.integers(0, 100),
    upstream_digest=NUMBERS,
)
SUSPECT_NOTES = st.builds(
    CrashSuspectEntry,
    fingerprint=st.integers(-(2**63), 2**63 - 1),
    crashes=st.integers(0, 100),
    ttl_ms=st.integers(0, 60_000),
    crash_ids=st.lists(st.integers(0, 2**63 - 1), max_size=3).map(tuple),
)
SUMMARIES = st.builds(
    ViewSummary,
    prefix=st.text("0123456789abcdef", max_size=2),
    digests=st.tuples(*[st.integers(0, 2**32 - 1)] * 16),
    is_reply=st.booleans(),
)
MESSAGES = st.builds(
    GossipMessage,
    sender=st.text(min_size=1, max_size=16),
    sequence=NUMBERS,
    kind=st.sampled_from(
        [
            GossipKind.PING,
            GossipKind.ACK,
            GossipKind.PING_REQUEST,
            GossipKind.HEARTBEAT,
        ]
    ),
    target=st.none() | TEXTS,
    updates=st.lists(RECORDS, max_size=3).map(tuple),
    generation=NUMBERS,
    suspects=st.lists(SUSPECT_NOTES, max_size=3).map(tuple),
)
PING = GossipMessage("n", 1, GossipKind.PING, "t", (), 0, ())
SIGNED_PING = encode_datagram(PING, KEYS).ok


@DETERMINISTIC
@given(MESSAGES, SUMMARIES)
def test_decoding_returns_the_encoded_message(
    message: GossipMessage, summary: ViewSummary
) -> None:
    push = GossipMessage(
        message.sender, 1, GossipKind.PUSH, None, (), 0, (), summary
    )
    for sent in (message, push):
        assert decode_datagram(encode_datagram(sent, KEYS).ok, KEYS).ok == sent


@DETERMINISTIC
@given(st.binary(max_size=1500))
def test_arbitrary_bytes_are_rejected_without_an_exception(data: bytes) -> None:
    assert decode_datagram(data, KEYS).is_error()
    decode_payload(data)


@DETERMINISTIC
@given(MESSAGES, st.data())
def test_corrupted_datagrams_are_rejected(
    message: GossipMessage, data: st.DataObject
) -> None:
    """Parsing must not raise, even if a corrupted payload has a valid tag.

    A faulty peer that holds the cluster key can sign such a payload.
    """
    signed = bytearray(encode_datagram(message, KEYS).ok)
    index = data.draw(st.integers(0, len(signed) - 1))
    signed[index] ^= data.draw(st.integers(1, 255))
    assert decode_datagram(bytes(signed), KEYS).is_error()
    decode_payload(bytes(signed[36:]))


def encode_gossip(**fields: object) -> bytes:
    values = {
        "sender": "n",
        "sequence": 1,
        "kind": 3,
        "updates": [],
        "generation": 0,
        "suspects": [],
    }
    return encode_struct(wire.Gossip(**(values | fields)))


MALFORMED_PAYLOADS = {
    "empty": b"",
    "unknown kind": encode_gossip(kind=9),
    "no sender": encode_gossip(sender=""),
    "negative generation": encode_gossip(generation=-1),
    "summary without digests": encode_gossip(target="q::"),
    "summary with a sign": encode_gossip(target="q::" + "-0000001" * 16),
    "summary with a long prefix": encode_gossip(target="q:abc:" + "0" * 128),
    "summary without flag": encode_gossip(target="x::" + "0" * 128),
    "unknown member state": encode_gossip(
        updates=[wire.Member("a", 1, 9, 1, "", "", "", "", 1, True, True)]
    ),
    "member with a long text": encode_gossip(
        updates=[wire.Member("a" * 65, 1, 0, 1, "", "", "", "", 1, True, True)]
    ),
}


@pytest.mark.parametrize(
    "payload", MALFORMED_PAYLOADS.values(), ids=MALFORMED_PAYLOADS.keys()
)
def test_malformed_payload_is_reported(payload: bytes) -> None:
    assert decode_payload(payload).error is DatagramFault.MALFORMED


DROPPED_CASES = {
    "forged": (encode_datagram(PING, OTHER_KEYS).ok, DatagramFault.BAD_TAG),
    "truncated": (SIGNED_PING[:20], DatagramFault.BAD_ENVELOPE),
    "oversized": (
        b"\1" * (MAX_DATAGRAM_BYTES + 1),
        DatagramFault.OVERSIZED,
    ),
}


@pytest.mark.parametrize(
    "case", DROPPED_CASES.values(), ids=DROPPED_CASES.keys()
)
def test_invalid_datagram_is_dropped_and_counted(
    case: tuple[bytes, DatagramFault],
) -> None:
    data, fault = case
    received: list[GossipMessage] = []
    socket = GossipSocket(
        KEYS, lambda message, _: received.append(message) or ()
    )
    socket.datagramReceived(data, ("10.0.0.1", 1))
    assert received == []
    assert socket.counters.dropped_by_fault[fault] == 1


def test_largest_messages_fit_into_a_datagram() -> None:
    """`Membership` fills messages by record sizes that it estimates.

    It does not encode the records; estimates that are too low would make
    messages exceed the datagram limit.
    """
    clock = ManualClock()
    node = Membership(member_record(0), clock, random.Random(1))
    node.set_crash_suspects(
        CrashSuspectEntry(i, 1, 60_000, (1, 2, 3)) for i in range(9)
    )
    peers = [
        replace(
            member_record(i, service="té" * 20),
            platform_lost=True,
            failure_percent=100,
            upstream_digest=2**63 - 1,
        )
        for i in range(1, 200)
    ]
    full_push = GossipMessage(
        "p", 1, GossipKind.PUSH, None, tuple(peers), 0, ()
    )
    node.receive(full_push, "10.0.0.9:1")
    largest = 0
    for _ in range(40):
        clock.advance(1.0)
        empty = ViewSummary("", (0,) * 16, is_reply=False)
        query = GossipMessage("p", 1, GossipKind.PUSH, None, (), 0, (), empty)
        sent = node.tick(clock.monotonic()) + node.receive(query, "10.0.0.9:1")
        for datagram in sent:
            size = len(encode_datagram(datagram.message, KEYS).ok)
            largest = max(largest, size)
    assert MAX_DATAGRAM_BYTES - 250 < largest <= MAX_DATAGRAM_BYTES


def test_unsendable_datagrams_are_counted_and_do_not_raise() -> None:
    socket = GossipSocket(KEYS, lambda _message, _source: ())
    socket.send([Datagram("10.0.0.1:1", PING)])
    assert socket.counters.send_errors == 1
    records = tuple(member_record(i) for i in range(20))
    oversized = GossipMessage("n", 1, GossipKind.PUSH, None, records, 0, ())
    socket.send([Datagram("10.0.0.1:1", oversized)])
    assert socket.counters.oversized_messages == 1


def test_sockets_exchange_datagrams_on_loopback() -> None:
    received: list[tuple[GossipMessage, str]] = []
    sender = GossipSocket(KEYS, lambda _message, _source: ())
    receiver = GossipSocket(
        KEYS, lambda message, source: received.append((message, source)) or ()
    )
    for socket in (sender, receiver):
        socket.start(reactor, "127.0.0.1", 0)
    try:
        sender.send([Datagram(receiver.address, PING)])
        receiver.transport.doRead()
        assert received == [(PING, sender.address)]
        assert sender.counters.sent_bytes == receiver.counters.received_bytes
    finally:
        for socket in (sender, receiver):
            socket.close()
    with pytest.raises(RuntimeError):
        _ = sender.address


@DETERMINISTIC
@given(RECORDS)
def test_the_size_of_a_record_is_not_underestimated(
    record: MemberRecord,
) -> None:
    without = GossipMessage("n", 1, GossipKind.PUSH, None, (), 0, ())
    message = replace(without, updates=(record,))
    sizes = [len(encode_datagram(m, KEYS).ok) for m in (without, message)]
    assert sizes[1] - sizes[0] <= record_bytes(record)
