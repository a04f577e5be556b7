"""Wire messages, document format and platform objects."""

from radishtray_protocol._slot_codec import (
    SlotCodecError,
    decode_slot_table,
    encode_slot_table,
)

__all__ = ["SlotCodecError", "decode_slot_table", "encode_slot_table"]
