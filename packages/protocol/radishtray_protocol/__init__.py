"""Wire messages, document format and platform objects."""

from radishtray_protocol._cluster_keys import (
    MAX_KEY_ID_BYTES,
    TAG_BYTES,
    ClusterKeys,
    ClusterKeysError,
    ClusterKeysFault,
)
from radishtray_protocol._document import (
    DEFAULTS_SECTION,
    Document,
    RequestKind,
    ServiceSection,
)
from radishtray_protocol._document_keys import PriorityClass
from radishtray_protocol._findings import Finding
from radishtray_protocol._frames import (
    DEFAULT_MAX_FRAME_BYTES,
    FrameDecoder,
    FrameError,
    decode_struct,
    encode_frame,
    encode_struct,
)
from radishtray_protocol._gen import ttypes as wire
from radishtray_protocol._parse import (
    ParsedSource,
    combine_sources,
    parse_document,
    parse_source,
)

__all__ = [
    "DEFAULTS_SECTION",
    "DEFAULT_MAX_FRAME_BYTES",
    "MAX_KEY_ID_BYTES",
    "TAG_BYTES",
    "ClusterKeys",
    "ClusterKeysError",
    "ClusterKeysFault",
    "Document",
    "Finding",
    "FrameDecoder",
    "FrameError",
    "ParsedSource",
    "PriorityClass",
    "RequestKind",
    "ServiceSection",
    "combine_sources",
    "decode_struct",
    "encode_frame",
    "encode_struct",
    "parse_document",
    "parse_source",
    "wire",
]
