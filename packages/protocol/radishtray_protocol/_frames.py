"""Codec of the length-prefixed Thrift frames that nodes exchange.

A frame on the stream is a 4-byte big-endian length and a `Frame` struct in
Thrift's binary protocol.
"""

import secrets
import struct
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer, TTransportBase

from radishtray_protocol._gen import ttypes

_T = TypeVar("_T")

_LENGTH_PREFIX = struct.Struct("!I")
_LENGTH_PREFIX_BYTES = _LENGTH_PREFIX.size
# Header of the field `compressed` in Thrift's binary protocol: type string, id.
_COMPRESSED_FIELD = b"\x0b\x00\x16"
_COMPRESSED_HEADER = struct.Struct("!I3sI")
_COMPRESSED_FIELD_BYTES = len(_COMPRESSED_FIELD) + _LENGTH_PREFIX_BYTES
_STRUCT_END = b"\x00"
_COMPRESSED_FRAME_EXTRA_BYTES = _COMPRESSED_FIELD_BYTES + len(_STRUCT_END)
_MAX_STRING_BYTES = 64 * 1024 * 1024
_MAX_CONTAINER_ITEMS = 100_000
_MAX_COPIED_BODY_BYTES = 64 * 1024
DEFAULT_MAX_FRAME_BYTES = 4 * 1024 * 1024


class FrameError(Exception):
    """A frame is malformed or too large.

    Attributes:
        reason: Label for the counter of rejected frames.
        offset: Position of the frame in the stream, in bytes.
    """

    def __init__(self, reason: str, offset: int, detail: str) -> None:
        """Describes the rejected frame.

        Args:
            reason: Label for the counter of rejected frames.
            offset: Position of the frame in the stream, in bytes.
            detail: What is wrong with the frame.
        """
        super().__init__(f"frame at byte {offset}: {detail}")
        self.reason = reason
        self.offset = offset


class _WriteBuffer(TTransportBase):
    """Collects the encoder's output; the C encoder writes it in one chunk."""

    __slots__ = ("chunks",)

    def __init__(self) -> None:
        self.chunks: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.chunks.append(data)


_write_buffer = _WriteBuffer()
_encoder = TBinaryProtocolAccelerated(_write_buffer)
# All frames share one decoder, because creating one for each frame took a
# quarter of the decoding time. The limits reject a short frame that declares a
# very large string or container.
_decoder = TBinaryProtocolAccelerated(
    TMemoryBuffer(b""),
    string_length_limit=_MAX_STRING_BYTES,
    container_length_limit=_MAX_CONTAINER_ITEMS,
)


def encode_struct(value: object) -> bytes:
    """Encodes a struct of the generated code with Thrift's binary protocol."""
    value.write(_encoder)  # type: ignore[attr-defined]
    chunks = _write_buffer.chunks
    data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
    chunks.clear()
    return data


def decode_struct(value: _T, data: bytes) -> _T:
    """Decodes a struct of the generated code.

    Args:
        value: An empty instance of the expected struct.
        data: The complete encoding of the struct.

    Returns:
        The same instance with its fields set.

    Raises:
        FrameError: If the encoding is malformed or lacks a required field.
    """
    _decoder.trans = TMemoryBuffer(data)
    try:
        value.read(_decoder)  # type: ignore[attr-defined]
        value.validate()  # type: ignore[attr-defined]
    except Exception as error:
        # Depending on the input, the decoder raises EOFError, TypeError,
        # UnicodeError, struct.error, TProtocolException or other types.
        raise FrameError("malformed", 0, f"not a valid struct: {error}") from (
            error
        )
    return value


def encode_frame(frame: "ttypes.Frame") -> bytes:
    """Encodes a frame with its length prefix."""
    data = encode_struct(frame)
    return _LENGTH_PREFIX.pack(len(data)) + data


def encode_compressed_frame(data: bytes) -> bytes:
    """Encodes a frame that holds a part of the compressed stream.

    Gives the same bytes as `encode_frame` without Thrift's encoder, which took
    3.5 us for such a frame and its decoder 6 us.
    """
    size = len(data)
    return (
        _COMPRESSED_HEADER.pack(
            size + _COMPRESSED_FRAME_EXTRA_BYTES, _COMPRESSED_FIELD, size
        )
        + data
        + _STRUCT_END
    )


def _read_compressed(
    buffer: bytes | bytearray, start: int, end: int
) -> bytes | None:
    """Returns the content of a frame that holds only compressed data.

    Args:
        buffer: Bytes that contain the struct of the frame.
        start: Position of the struct in the buffer.
        end: Position after the struct.

    Returns:
        The data, or None for any other frame, which Thrift has to decode.
    """
    size = end - start - _COMPRESSED_FRAME_EXTRA_BYTES
    if size < 0 or buffer[end - 1] != _STRUCT_END[0]:
        return None
    data_start = start + _COMPRESSED_FIELD_BYTES
    (stated_size,) = _LENGTH_PREFIX.unpack_from(
        buffer, start + len(_COMPRESSED_FIELD)
    )
    return bytes(buffer[data_start : end - 1]) if stated_size == size else None


def encode_frame_parts(frame: "ttypes.Frame") -> list[bytes]:
    """Encodes a frame, without a copy of a large body of a call or answer.

    Returns:
        The parts of the encoding, of which the body may be one.
    """
    message = frame.call or frame.answer
    body = message.body if message is not None else None
    if body is None or len(body) <= _MAX_COPIED_BODY_BYTES:
        return [encode_frame(frame)]
    # The encoding of a string is its length and its bytes. Encoding a random
    # text in place of the body shows where it belongs.
    marker = secrets.token_bytes(16)
    message.body = marker
    try:
        data = encode_struct(frame)
    finally:
        message.body = body
    start = data.index(marker)
    end = start + len(marker)
    size = len(data) - len(marker) + len(body)
    head = (
        _LENGTH_PREFIX.pack(size)
        + data[: start - _LENGTH_PREFIX_BYTES]
        + _LENGTH_PREFIX.pack(len(body))
    )
    return [head, body, data[end:]]


class FrameDecoder:
    """Splits a byte stream into frames.

    Attributes:
        max_frame_bytes: Largest accepted frame, without the length prefix.
    """

    __slots__ = ("_buffer", "_offset", "max_frame_bytes")

    def __init__(self, max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES) -> None:
        """Expects the first byte of a stream as the next input."""
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._offset = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes that do not yet form a complete frame."""
        return len(self._buffer)

    def feed(
        self, data: bytes, on_frame: Callable[["ttypes.Frame"], None]
    ) -> None:
        """Decodes each frame that the received bytes complete.

        Args:
            data: Next bytes of the stream.
            on_frame: Called with each frame in stream order.

        Raises:
            FrameError: If a frame is malformed or too large. The decoder must
                not be used afterwards.
        """
        # Adding to a bytearray copies no earlier part of a large frame.
        is_continued = bool(self._buffer)
        if is_continued:
            self._buffer += data
        buffer = self._buffer if is_continued else data
        position = 0
        size = len(buffer)
        while size - position >= _LENGTH_PREFIX_BYTES:
            (length,) = _LENGTH_PREFIX.unpack_from(buffer, position)
            if length > self.max_frame_bytes:
                raise FrameError(
                    "oversized",
                    self._offset + position,
                    f"{length} bytes exceed the limit of"
                    f" {self.max_frame_bytes}",
                )
            end = position + _LENGTH_PREFIX_BYTES + length
            if end > size:
                break
            frame = self._decode_frame(buffer, position, end)
            position = end
            on_frame(frame)
        if position == size:
            self._buffer = bytearray()
        elif not is_continued:
            self._buffer = bytearray(memoryview(data)[position:])
        elif position:
            del self._buffer[:position]
        self._offset += position

    def _decode_frame(
        self, buffer: bytes | bytearray, start: int, end: int
    ) -> "ttypes.Frame":
        offset = self._offset + start
        start += _LENGTH_PREFIX_BYTES
        if buffer.startswith(_COMPRESSED_FIELD, start):
            compressed = _read_compressed(buffer, start, end)
            if compressed is not None:
                return ttypes.Frame(compressed=compressed)
        data = bytes(memoryview(buffer)[start:end])
        try:
            frame = decode_struct(ttypes.Frame(), data)
            _validate_frame(frame)
        except FrameError as error:
            raise FrameError(error.reason, offset, str(error)) from error
        return frame


# `accepts_compression` accompanies a message; a frame that holds nothing else
# would end a connection to a node that does not know the field.
_CONTROL_FIELDS = tuple(
    name
    for name in ttypes.Frame.__slots__
    if name not in ("call", "answer", "accepts_compression")
)


def _validate_frame(frame: "ttypes.Frame") -> None:
    """Validates what Thrift does not: nested structs and the message count.

    Raises:
        FrameError: If a field is missing, or if a frame that is neither a call
            nor an answer does not hold exactly one message.
    """
    try:
        if frame.call is not None:
            if frame.answer is not None:
                raise FrameError("malformed", 0, "call and answer both set")
            frame.call.validate()
            frame.call.context.validate()
        elif frame.answer is not None:
            frame.answer.validate()
        else:
            _validate_control_frame(frame)
    except FrameError:
        raise
    except Exception as error:
        raise FrameError("malformed", 0, f"missing field: {error}") from error


def _validate_control_frame(frame: "ttypes.Frame") -> None:
    """Validates a frame that holds neither a call nor an answer."""
    messages = [
        message
        for name in _CONTROL_FIELDS
        if (message := getattr(frame, name)) is not None
    ]
    if len(messages) != 1:
        raise FrameError("malformed", 0, f"{len(messages)} messages set")
    if frame.compressed is not None:
        return
    messages[0].validate()
    if frame.attempt_states is not None:
        _validate_items(frame.attempt_states.states)
    elif frame.key_records is not None:
        _validate_items(frame.key_records.records)


def _validate_items(items: Iterable[Any]) -> None:
    """Validates attempt states or key records and the answers in them."""
    for item in items:
        item.validate()
        if item.answer is not None:
            item.answer.validate()
