"""Wire messages, document format and platform objects."""

from radishtray_protocol._frames import (
    DEFAULT_MAX_FRAME_BYTES,
    FrameDecoder,
    FrameError,
    decode_struct,
    encode_frame,
    encode_struct,
)
from radishtray_protocol._gen import ttypes as wire

__all__ = [
    "DEFAULT_MAX_FRAME_BYTES",
    "FrameDecoder",
    "FrameError",
    "decode_struct",
    "encode_frame",
    "encode_struct",
    "wire",
]
