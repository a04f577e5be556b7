"""Compressed frames: negotiation, order, limits and broken streams.

The tests guard against frames that a node of another version cannot read, that
overtake one another or get lost, and against a peer that exhausts the memory.
"""

import tracemalloc
import zlib

import pytest

from radishtray_protocol import encode_frame, wire
from radishtray_testing.connection_builders import ConnectedNodes
from radishtray_testing.frame_builders import FrameSource
from radishtray_transport import (
    MAX_DECOMPRESSED_BYTES,
    CompressionTotals,
    FrameCompressor,
    FrameDecompressor,
)


def connect() -> ConnectedNodes:
    return ConnectedNodes(CompressionTotals(), CompressionTotals())


def build_exchange() -> tuple[list[wire.Frame], list[wire.Frame]]:
    """Returns ten calls and the answers to them."""
    source = FrameSource()
    calls = [source.build_call() for _ in range(10)]
    return calls, [source.build_answer(frame.call) for frame in calls]


# By name: whether the opening and the accepting side compress, and whether
# frames are compressed.
NEGOTIATIONS = {
    "both": (True, True, True),
    "opener_only": (True, False, False),
    "acceptor_only": (False, True, False),
    "neither": (False, False, False),
}


@pytest.mark.parametrize("name", NEGOTIATIONS)
def test_frames_arrive_and_are_compressed_only_if_both_sides_agree(
    name: str,
) -> None:
    opener, acceptor, is_compressed = NEGOTIATIONS[name]
    nodes = ConnectedNodes(
        CompressionTotals() if opener else None,
        CompressionTotals() if acceptor else None,
    )
    calls, answers = build_exchange()
    handshake = bytes(nodes.opener_bytes), bytes(nodes.acceptor_bytes)
    nodes.send(*calls)
    nodes.send_answers(*answers)
    assert (nodes.acceptor.frames, nodes.opener.frames) == (calls, answers)
    plain = b"".join(map(encode_frame, calls))
    plain_answers = b"".join(map(encode_frame, answers))
    sent = nodes.opener_bytes[len(handshake[0]) :]
    sent_answers = nodes.acceptor_bytes[len(handshake[1]) :]
    if is_compressed:
        assert len(sent) < len(plain) / 2
        assert len(sent_answers) < len(plain_answers) / 2
    else:
        assert (sent, sent_answers) == (plain, plain_answers)


def test_a_node_that_does_not_compress_offers_nothing() -> None:
    """The handshake must have the bytes that earlier versions send."""
    nodes = ConnectedNodes(None, None)
    for sent in (nodes.opener_bytes, nodes.acceptor_bytes):
        hello_size = 4 + int.from_bytes(sent[:4], "big")
        proof = nodes.opener.connection and sent[hello_size:]
        assert proof
        key_and_tag = 4 + 3 + (3 + 4 + 2) + (3 + 4 + 32) + 1 + 1
        assert len(proof) == key_and_tag


def test_small_and_large_frames_keep_their_order_between_compressed_ones() -> (
    None
):
    nodes = connect()
    source = FrameSource()
    frames: list[wire.Frame] = []
    for size in (3_000_000, 5000, 1000, 0):
        frames.append(source.build_call())
        frames.append(source.build_call(source.build_body(size)))
        frames.append(wire.Frame(cancel=wire.Cancel(attempt_id=size)))
    nodes.send(*frames)
    assert nodes.acceptor.frames == frames


def test_a_large_frame_is_sent_as_it_is() -> None:
    nodes = connect()
    before = len(nodes.opener_bytes)
    frame = FrameSource().build_call(bytes(2048))
    nodes.send(frame)
    assert nodes.opener_bytes[before:] == encode_frame(frame)


def deflate(data: bytes, mode: int = zlib.Z_SYNC_FLUSH) -> bytes:
    stream = zlib.compressobj(9, zlib.DEFLATED, -12)
    return stream.compress(data) + stream.flush(mode)


PING = encode_frame(wire.Frame(ping=wire.Ping(sequence=1)))
# By name: a part of a compressed stream, and the reason of the rejection.
BROKEN_STREAMS = {
    "not_deflate": (b"\xff" * 50, "frame_undecompressible"),
    "flipped_bit": (
        bytes([deflate(PING)[0] ^ 6]) + deflate(PING)[1:],
        "frame_undecompressible",
    ),
    "ended": (deflate(PING, zlib.Z_FINISH), "frame_undecompressible"),
    "bomb": (deflate(bytes(100_000_000)), "frame_oversized"),
    "just_above_the_limit": (
        deflate(PING + bytes(MAX_DECOMPRESSED_BYTES + 1 - len(PING))),
        "frame_oversized",
    ),
    "frame_above_the_limit": (
        deflate((MAX_DECOMPRESSED_BYTES + 1).to_bytes(4, "big")),
        "frame_oversized",
    ),
    "no_struct": (deflate(b"\0\0\0\3abc"), "frame_malformed"),
    "compressed_twice": (
        deflate(encode_frame(wire.Frame(compressed=deflate(PING)))),
        "frame_nested_compression",
    ),
}


@pytest.mark.parametrize("name", BROKEN_STREAMS)
def test_a_broken_stream_ends_the_connection_with_a_reason(name: str) -> None:
    data, reason = BROKEN_STREAMS[name]
    nodes = connect()
    tracemalloc.start()
    nodes.send_stream(data)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert nodes.acceptor.rejections == [reason]
    assert nodes.acceptor.has_lost_connection
    assert nodes.opener.has_lost_connection
    assert peak < 1_000_000
    nodes.send_raw(encode_frame(FrameSource().build_call()))
    assert not nodes.acceptor.frames


def test_a_compressed_frame_that_was_not_offered_ends_the_connection() -> None:
    nodes = ConnectedNodes(CompressionTotals(), None)
    nodes.send_stream(deflate(PING))
    assert nodes.acceptor.rejections == ["frame_unexpected_compression"]
    assert nodes.acceptor.has_lost_connection


def test_frames_after_an_abort_are_not_handled() -> None:
    """A fenced connection must not deliver the rest of a compressed part."""
    nodes = connect()
    calls, _ = build_exchange()
    connection = nodes.acceptor.connection
    assert connection is not None
    nodes.acceptor.on_frame = lambda _frame: connection.abort()
    nodes.send_stream(deflate(b"".join(map(encode_frame, calls))))
    assert nodes.acceptor.frames == calls[:1]


def test_a_connection_that_closes_within_a_frame_delivers_what_is_whole() -> (
    None
):
    nodes = connect()
    calls, _ = build_exchange()
    compressor = FrameCompressor(CompressionTotals())
    parts = [compressor.compress(encode_frame(call)) for call in calls[:3]]
    nodes.send_raw(b"".join(parts)[:-1])
    nodes.opener_end.abortConnection()
    nodes.run()
    assert nodes.acceptor.frames == calls[:2]
    assert nodes.acceptor.has_lost_connection
    assert not nodes.acceptor.rejections


def test_frames_may_be_split_between_parts_of_the_stream() -> None:
    """A later version may cut its stream elsewhere than at frame borders."""
    calls, _ = build_exchange()
    plain = b"".join(map(encode_frame, calls))
    stream = zlib.compressobj(6, zlib.DEFLATED, -12)
    nodes = connect()
    for start in range(0, len(plain), 100):
        part = stream.compress(plain[start : start + 100])
        nodes.send_stream(part + stream.flush(zlib.Z_SYNC_FLUSH))
    assert nodes.acceptor.frames == calls


def test_a_connection_takes_bounded_memory_and_none_before_it_is_used() -> None:
    """One connection may take tens of kilobytes: a node has hundreds."""
    source = FrameSource()
    encoded = [encode_frame(source.build_call()) for _ in range(200)]
    totals = CompressionTotals()
    tracemalloc.start()
    compressor = FrameCompressor(totals)
    unused = tracemalloc.get_traced_memory()[0]
    compressor.compress(PING)
    assert not compressor.is_allocated
    decompressor = FrameDecompressor(totals)
    for data in encoded:
        part = compressor.compress(data)[11:-1]
        decompressor.feed(part, lambda _frame: None)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert unused < 1000
    assert 20_000 < used < 64_000
    assert totals.sent_wire_bytes == totals.received_wire_bytes
    assert totals.sent_frame_bytes == sum(map(len, encoded))
