"""Frame codec: split streams, invalid frames and corrupted bytes.

The tests guard against a decoder that accepts an incomplete message, loses a
frame at the border of two reads, or raises anything but `FrameError`.
"""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_protocol import (
    FrameDecoder,
    FrameError,
    encode_compressed_frame,
    encode_frame,
    encode_frame_parts,
    encode_struct,
    wire,
)

CONTEXT = wire.Context(
    request_id=b"r" * 16,
    priority_class=1,
    level=5,
    deadline_ms=100,
    retry_budget=3,
    depth=1,
    key_first_send=False,
    fingerprint=7,
    crash_count=0,
)


def build_call(**fields: object) -> wire.Call:
    defaults: dict[str, object] = {
        "attempt_id": 1,
        "service_name": "s",
        "kind": "k",
        "method": "GET",
        "path": "/",
        "headers": ["a", "b"],
        "body": b"body",
        "context": CONTEXT,
        "generation": 1,
    }
    return wire.Call(**defaults | fields)


def build_answer() -> wire.Answer:
    return wire.Answer(
        attempt_id=1,
        status=200,
        headers=["a", "b"],
        body=b"whole",
        retries_used=0,
        threshold=0,
        queue_ms=0,
        in_flight=1,
    )


FRAMES = [
    wire.Frame(call=build_call()),
    wire.Frame(answer=build_answer()),
    wire.Frame(ping=wire.Ping(sequence=3)),
    wire.Frame(cancel=wire.Cancel(attempt_id=4)),
    wire.Frame(attempt_query=wire.AttemptQuery(attempt_ids=[1, 2])),
    wire.Frame(proof=wire.Proof("k", b"t"), accepts_compression=True),
    wire.Frame(compressed=b"part of a stream"),
]
STREAM = b"".join(encode_frame(frame) for frame in FRAMES)


def decode(data: bytes, parts: int = 1, limit: int = 4096) -> list[wire.Frame]:
    decoder = FrameDecoder(limit)
    found: list[wire.Frame] = []
    size = max(1, -(-len(data) // parts))
    for start in range(0, len(data), size):
        decoder.feed(data[start : start + size], found.append)
    return found


@pytest.mark.parametrize("parts", [1, 2, 7, len(STREAM)])
def test_frames_do_not_depend_on_how_the_stream_is_split(parts: int) -> None:
    assert decode(STREAM, parts) == FRAMES


def prefixed(data: bytes) -> bytes:
    """Returns data with a length prefix."""
    return len(data).to_bytes(4, "big") + data


# By name: (bytes after one valid frame, reason of the expected error).
INVALID_FRAMES = {
    "oversized": (b"\x00\x00\x10\x01", "oversized"),
    "negative_length": (b"\xff\xff\xff\xff", "oversized"),
    "empty": (prefixed(b""), "malformed"),
    "no_message": (prefixed(b"\x00"), "malformed"),
    "offer_without_message": (
        encode_frame(wire.Frame(accepts_compression=True)),
        "malformed",
    ),
    "compressed_with_ping": (
        encode_frame(wire.Frame(compressed=b"a", ping=wire.Ping(sequence=1))),
        "malformed",
    ),
    "compressed_longer_than_the_frame": (
        prefixed(b"\x0b\x00\x16\x00\x00\x00\x09abc\x00"),
        "malformed",
    ),
    "compressed_without_end": (
        prefixed(b"\x0b\x00\x16\x00\x00\x00\x03abc\x01"),
        "malformed",
    ),
    "compressed_without_length": (prefixed(b"\x0b\x00\x16"), "malformed"),
    "two_messages": (
        encode_frame(
            wire.Frame(ping=wire.Ping(sequence=1), pong=wire.Pong(sequence=1))
        ),
        "malformed",
    ),
    "call_without_context": (
        encode_frame(wire.Frame(call=build_call(context=None))),
        "malformed",
    ),
    "context_without_budget": (
        encode_frame(
            wire.Frame(call=build_call(context=wire.Context(request_id=b"r")))
        ),
        "malformed",
    ),
    "truncated_struct": (
        prefixed(encode_struct(FRAMES[1])[:-9]),
        "malformed",
    ),
}


@pytest.mark.parametrize("name", INVALID_FRAMES)
def test_invalid_frame_is_an_error_with_its_offset(name: str) -> None:
    data, reason = INVALID_FRAMES[name]
    valid_frame = encode_frame(FRAMES[0])
    with pytest.raises(FrameError) as raised:
        decode(valid_frame + data)
    assert (raised.value.reason, raised.value.offset) == (
        reason,
        len(valid_frame),
    )


@pytest.mark.parametrize("size", [0, 1, 110, 70_000])
def test_compressed_frame_is_encoded_as_by_thrift(size: int) -> None:
    """The encoding without Thrift must not differ from the one with it."""
    data = bytes(size)
    frame = wire.Frame(compressed=data)
    assert encode_compressed_frame(data) == encode_frame(frame)
    assert decode(encode_frame(frame), limit=100_000) == [frame]


def test_field_of_a_later_version_beside_a_message_is_ignored() -> None:
    """A node that does not know `accepts_compression` reads the proof."""
    proof = wire.Frame(proof=wire.Proof("k", b"t"))
    later_field = b"\x02\x7f\xff\x01"
    data = encode_struct(proof)[:-1] + later_field + b"\x00"
    assert decode(prefixed(data)) == [proof]


@settings(deadline=None, max_examples=500, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, len(STREAM) - 1), st.integers(0, 255)),
        max_size=4,
    ),
    st.integers(0, len(STREAM)),
    st.integers(1, 9),
)
def test_corrupted_stream_yields_complete_messages_or_a_frame_error(
    overwrites: list[tuple[int, int]], length: int, parts: int
) -> None:
    """Overwrites and truncates a stream at random.

    Each decoded frame must hold a complete message. The intact stream, cut at
    any length, must give the same frames however it is split.
    """
    data = bytearray(STREAM)
    for offset, value in overwrites:
        data[offset] = value
    found: list[wire.Frame] = []
    decoder = FrameDecoder(4096)
    with contextlib.suppress(FrameError):
        decoder.feed(bytes(data[:length]), found.append)
    for frame in found:
        messages = [
            getattr(frame, name)
            for name in wire.Frame.__slots__
            if name != "accepts_compression"
            and getattr(frame, name) is not None
        ]
        assert messages, "a frame without a message"
        for message in messages:
            # Compressed data is not a struct.
            if not isinstance(message, bytes):
                message.validate()
    if not overwrites:
        assert found == FRAMES[: len(found)]
    assert decode(STREAM[:length], parts) == decode(STREAM[:length])


@settings(deadline=None, max_examples=300, derandomize=True)
@given(st.binary(max_size=60))
def test_arbitrary_bytes_raise_only_frame_errors(data: bytes) -> None:
    for text in (data, prefixed(data)):
        try:
            decode(text)
        except FrameError:
            continue


@pytest.mark.parametrize("size", [0, 100, 65_536, 65_537, 1_000_000])
@pytest.mark.parametrize("is_call", [True, False])
def test_parts_are_the_same_encoding_without_a_copy_of_a_large_body(
    is_call: bool, size: int
) -> None:
    body = b"x" * size
    answer = build_answer()
    answer.body = body
    frame = (
        wire.Frame(call=build_call(body=body))
        if is_call
        else wire.Frame(answer=answer)
    )
    parts = encode_frame_parts(frame)
    assert b"".join(parts) == encode_frame(frame)
    assert (len(parts) == 3 and parts[1] is body) == (size > 65_536)
