"""Frame codec with random input.

A peer may send any bytes. The decoder must raise nothing but `FrameError`,
because another exception would not be handled as a rejected frame.
"""

import itertools
import struct
from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_protocol import FrameDecoder, FrameError, encode_frame
from radishtray_protocol import wire as ttypes

# Derandomized, so that CI runs the same examples every time.
_FIXED_EXAMPLES = settings(derandomize=True, deadline=None, max_examples=300)

_CONTEXT = ttypes.Context(b"r" * 16, 0, 5, 900, 3, 1, None, None, 7, 0)
_ANSWER = ttypes.Answer(9, 200, ["a", "b"], b"body", 1, None, 4, 5, 6)
_CALL = ttypes.Call(
    9, "taquilla", "buy", "POST", "/é", ["a", "b"], b"body", _CONTEXT, 3
)
_STATES = ttypes.AttemptStates(
    [
        ttypes.AttemptState(1, ttypes.AttemptPhase.DONE, _ANSWER),
        ttypes.AttemptState(2, ttypes.AttemptPhase.RUNNING, None),
    ]
)
_FRAMES = [
    ttypes.Frame(call=_CALL),
    ttypes.Frame(answer=_ANSWER),
    ttypes.Frame(attempt_states=_STATES),
    ttypes.Frame(attempt_query=ttypes.AttemptQuery([1, 2, 2**62])),
    ttypes.Frame(hello=ttypes.Hello("n", 1, b"x" * 16, 2, ["k"])),
    ttypes.Frame(release_push=ttypes.ReleasePush(4, b"{}", {"d": b"t"})),
    ttypes.Frame(ping=ttypes.Ping(1)),
]
_ENCODED = [encode_frame(frame) for frame in _FRAMES]
_STREAM = b"".join(_ENCODED)


def _decode(*chunks: bytes) -> list[ttypes.Frame]:
    frames: list[ttypes.Frame] = []
    decoder = FrameDecoder(max_frame_bytes=4096)
    for chunk in chunks:
        decoder.feed(chunk, frames.append)
    return frames


def _prefixed(body: bytes) -> bytes:
    return struct.pack("!I", len(body)) + body


@_FIXED_EXAMPLES
@given(st.lists(st.integers(0, len(_STREAM)), max_size=8))
def test_frames_do_not_depend_on_how_the_stream_is_split(
    split_offsets: list[int],
) -> None:
    bounds = [0, *sorted(split_offsets), len(_STREAM)]
    chunks = [_STREAM[start:end] for start, end in itertools.pairwise(bounds)]
    assert _decode(*chunks) == _FRAMES


def test_single_bytes_and_truncated_streams_yield_only_whole_frames() -> None:
    assert _decode(*(bytes([byte]) for byte in _STREAM)) == _FRAMES
    for size in range(len(_STREAM)):
        frames = _decode(_STREAM[:size])
        assert frames == _FRAMES[: len(frames)]
        # The next frame must not be complete yet.
        end_of_next_frame = sum(map(len, _ENCODED[: len(frames) + 1]))
        assert size < end_of_next_frame


@_FIXED_EXAMPLES
@given(
    encoded=st.sampled_from(_ENCODED),
    overwrites=st.lists(
        st.tuples(st.integers(4, 400), st.integers(0, 255)),
        min_size=1,
        max_size=4,
    ),
    truncated_bytes=st.integers(0, 30),
)
def test_corrupted_frame_decodes_completely_or_raises_frame_error(
    encoded: bytes, overwrites: list[tuple[int, int]], truncated_bytes: int
) -> None:
    body = bytearray(encoded)
    for offset, value in overwrites:
        body[offset % len(body)] = value
    body = body[4 : len(body) - truncated_bytes]
    with suppress(FrameError):
        for frame in _decode(_prefixed(bytes(body))):
            encode_frame(frame)


@_FIXED_EXAMPLES
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_frame_errors(data: bytes) -> None:
    with suppress(FrameError):
        _decode(data)
    with suppress(FrameError):
        _decode(_prefixed(data))


@pytest.mark.parametrize(
    ("case", "data", "reason"),
    [
        ("oversized", struct.pack("!I", 4097), "oversized"),
        ("largest length", b"\xff" * 4, "oversized"),
        ("empty", _prefixed(b""), "malformed"),
        ("no message", _prefixed(b"\x00"), "malformed"),
        ("deep structs", _prefixed(b"\x0c\x00\x63" * 1300), "malformed"),
        (
            "deep lists",
            _prefixed(b"\x0f\x00\x63" + b"\x0f\x00\x00\x00\x01" * 800),
            "malformed",
        ),
        (
            "declared string of 2 GB",
            _prefixed(b"\x0c\x00\x01\x0b\x00\x01\x7f\xff\xff\xff"),
            "malformed",
        ),
        (
            "declared list of 2**31 ids",
            _prefixed(b"\x0c\x00\x06\x0f\x00\x01\x0a\x7f\xff\xff\xff"),
            "malformed",
        ),
        (
            "negative list",
            _prefixed(b"\x0c\x00\x06\x0f\x00\x01\x0a\xff\xff\xff\xff"),
            "malformed",
        ),
        (
            "missing field",
            _prefixed(b"\x0c\x00\x08\x00\x00"),
            "malformed",
        ),
    ],
)
def test_invalid_frame_is_rejected_with_its_offset(
    case: str, data: bytes, reason: str
) -> None:
    with pytest.raises(FrameError) as rejected:
        _decode(_ENCODED[0] + data)
    assert rejected.value.reason == reason, case
    assert rejected.value.offset == len(_ENCODED[0])


def test_invalid_utf_8_becomes_replacement_characters() -> None:
    corrupted = _ENCODED[0].replace(b"taquilla", b"\xff" * 8)
    assert _decode(corrupted)[0].call.service_name == "\ufffd" * 8
