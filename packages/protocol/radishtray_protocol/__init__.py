"""Wire frames, configuration documents and objects in the platform store."""

from radishtray_protocol._cluster_keys import (
    MAX_KEY_ID_BYTES,
    TAG_BYTES,
    ClusterKeys,
    ClusterKeysError,
    ClusterKeysErrorReason,
)
from radishtray_protocol._coordination_objects import (
    MAX_SEEDS,
    SEEDS_PREFIX,
    decode_lease,
    decode_seeds,
    encode_lease,
    encode_seeds,
    lease_object_name,
    seeds_object_name,
)
from radishtray_protocol._document import (
    DEFAULTS_SECTION,
    Document,
    RequestKind,
    ServiceSection,
)
from radishtray_protocol._document_keys import (
    DEFAULTS_KEYS,
    KIND_KEYS,
    KeySpec,
    KeyType,
    PriorityClass,
)
from radishtray_protocol._findings import Finding
from radishtray_protocol._frames import (
    DEFAULT_MAX_FRAME_BYTES,
    FrameDecoder,
    FrameError,
    decode_struct,
    encode_compressed_frame,
    encode_frame,
    encode_frame_parts,
    encode_struct,
)
from radishtray_protocol._gen import ttypes as wire
from radishtray_protocol._parse import (
    combine_sources,
    parse_document,
    parse_source,
)
from radishtray_protocol._parsed_source import ParsedSource
from radishtray_protocol._release import (
    MAX_HISTORY_CHANGES,
    MAX_VALUE_BYTES,
    RELEASE_OBJECT,
    Change,
    DigestChange,
    Release,
    ReleaseError,
    decode_release,
    next_release,
    section_object_name,
)
from radishtray_protocol._route_check import check_routes
from radishtray_protocol._route_differences import compare_routes
from radishtray_protocol._route_draft import (
    RouteDraft,
    RouteFinding,
    Severity,
)
from radishtray_protocol._routes import (
    HIGHEST_PRIORITY_CLASS,
    CallerLimits,
    Route,
    RouteSplit,
    RouteTable,
    decode_routes,
    encode_routes,
)
from radishtray_protocol._sections import (
    join_sections,
    section_digest,
    split_sections,
)
from radishtray_protocol._slot_codec import (
    SlotCodecError,
    decode_slot_table,
    encode_slot_table,
)

__all__ = [
    "DEFAULTS_KEYS",
    "DEFAULTS_SECTION",
    "DEFAULT_MAX_FRAME_BYTES",
    "HIGHEST_PRIORITY_CLASS",
    "KIND_KEYS",
    "MAX_HISTORY_CHANGES",
    "MAX_KEY_ID_BYTES",
    "MAX_SEEDS",
    "MAX_VALUE_BYTES",
    "RELEASE_OBJECT",
    "SEEDS_PREFIX",
    "TAG_BYTES",
    "CallerLimits",
    "Change",
    "ClusterKeys",
    "ClusterKeysError",
    "ClusterKeysErrorReason",
    "DigestChange",
    "Document",
    "Finding",
    "FrameDecoder",
    "FrameError",
    "KeySpec",
    "KeyType",
    "ParsedSource",
    "PriorityClass",
    "Release",
    "ReleaseError",
    "RequestKind",
    "Route",
    "RouteDraft",
    "RouteFinding",
    "RouteSplit",
    "RouteTable",
    "ServiceSection",
    "Severity",
    "SlotCodecError",
    "check_routes",
    "combine_sources",
    "compare_routes",
    "decode_lease",
    "decode_release",
    "decode_routes",
    "decode_seeds",
    "decode_slot_table",
    "decode_struct",
    "encode_compressed_frame",
    "encode_frame",
    "encode_frame_parts",
    "encode_lease",
    "encode_routes",
    "encode_seeds",
    "encode_slot_table",
    "encode_struct",
    "join_sections",
    "lease_object_name",
    "next_release",
    "parse_document",
    "parse_source",
    "section_digest",
    "section_object_name",
    "seeds_object_name",
    "split_sections",
    "wire",
]
