"""Compression of the frames of one node connection.

Each direction of a connection is one raw deflate stream, so that a frame is
compressed by reference to the frames before it. The stream is cut into the
`compressed` fields of outer frames, each of which can be decompressed on
arrival.
"""

import zlib
from collections.abc import Callable
from typing import Any

from radishtray_protocol import (
    FrameDecoder,
    FrameError,
    encode_compressed_frame,
    wire,
)

# Both sides must agree on the window. Measured on calls of 600 and answers of
# 420 bytes: a window of 4 KiB takes 42 KB for both directions of a connection.
# 2 KiB gave 12% more bytes and 8 KiB 6% fewer, for 62 KB.
_WINDOW_BITS = 12
_MEM_LEVEL = 5
# Fixed Huffman codes took 4 us less for a call and its answer than codes that
# are computed for each frame, for 4% more bytes. Level 6 took 6 us more than
# level 3 for 5% fewer bytes.
_LEVEL = 3
_STRATEGY = zlib.Z_FIXED
# Ends with an empty block of 10 bits, which a sync flush pads to 5 bytes.
_FLUSH_MODE = zlib.Z_PARTIAL_FLUSH

# The outer frame takes 12 bytes, so that a ping would become longer.
_MIN_FRAME_BYTES = 64
# A larger frame would displace the repeated headers from the window. Random
# bytes take 44 ns of processor time each and do not shrink, so that a frame of
# this size costs at most 90 us in vain.
_MAX_FRAME_BYTES = 2048
# Limit of one received part of the stream and of each frame in it. It is above
# what this version sends, so that a later one can compress larger frames.
MAX_DECOMPRESSED_BYTES = 64 * 1024
_OUTER_FRAME_BYTES = len(encode_compressed_frame(b""))


class CompressionTotals:
    """Bytes of compressed frames on all connections of a process.

    Attributes:
        sent_frame_bytes: Bytes of the frames that were sent compressed.
        sent_wire_bytes: Bytes that these took on the connections.
        received_frame_bytes: Bytes of the frames that arrived compressed.
        received_wire_bytes: Bytes that these took on the connections.
    """

    __slots__ = (
        "received_frame_bytes",
        "received_wire_bytes",
        "sent_frame_bytes",
        "sent_wire_bytes",
    )

    def __init__(self) -> None:
        """Starts at zero."""
        self.sent_frame_bytes = 0
        self.sent_wire_bytes = 0
        self.received_frame_bytes = 0
        self.received_wire_bytes = 0


class FrameCompressor:
    """Compresses the frames that one side of a connection sends.

    The stream is created with the first frame that is compressed, so that
    connections without calls take no memory for it.
    """

    __slots__ = ("_stream", "_totals")

    def __init__(self, totals: CompressionTotals) -> None:
        """Takes the totals to count in."""
        self._totals = totals
        self._stream: Any = None

    @property
    def is_allocated(self) -> bool:
        """Whether the stream has been created."""
        return self._stream is not None

    def compress(self, frame: bytes) -> bytes:
        """Returns the bytes to send for an encoded frame.

        Frames that are too small or too large to gain from compression are
        returned unchanged. The result must be sent: later frames refer to it.
        """
        size = len(frame)
        if size < _MIN_FRAME_BYTES or size > _MAX_FRAME_BYTES:
            return frame
        stream = self._stream
        if stream is None:
            stream = self._stream = zlib.compressobj(
                _LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEM_LEVEL, _STRATEGY
            )
        data = encode_compressed_frame(
            stream.compress(frame) + stream.flush(_FLUSH_MODE)
        )
        totals = self._totals
        totals.sent_frame_bytes += size
        totals.sent_wire_bytes += len(data)
        return data


class FrameDecompressor:
    """Decompresses the frames that one side of a connection receives."""

    __slots__ = ("_decoder", "_stream", "_totals")

    def __init__(self, totals: CompressionTotals) -> None:
        """Starts a stream, of which nothing has arrived."""
        self._totals = totals
        self._stream = zlib.decompressobj(-_WINDOW_BITS)
        self._decoder = FrameDecoder(MAX_DECOMPRESSED_BYTES)

    def feed(self, data: bytes, on_frame: Callable[[wire.Frame], None]) -> None:
        """Decodes each frame that a part of the stream completes.

        Args:
            data: The next part of the stream.
            on_frame: Called with each frame in stream order.

        Raises:
            FrameError: If the stream cannot be decompressed, has ended or
                exceeds the size limit, or if a frame is invalid. The
                decompressor must not be used afterwards.
        """
        stream = self._stream
        try:
            frames = stream.decompress(data, MAX_DECOMPRESSED_BYTES + 1)
        except zlib.error as error:
            raise FrameError("undecompressible", 0, str(error)) from error
        if len(frames) > MAX_DECOMPRESSED_BYTES:
            raise FrameError(
                "oversized",
                0,
                f"{len(data)} compressed bytes exceed the limit of"
                f" {MAX_DECOMPRESSED_BYTES} decompressed bytes",
            )
        if stream.eof:
            raise FrameError("undecompressible", 0, "the stream has ended")
        totals = self._totals
        totals.received_frame_bytes += len(frames)
        totals.received_wire_bytes += len(data) + _OUTER_FRAME_BYTES
        self._decoder.feed(frames, on_frame)
