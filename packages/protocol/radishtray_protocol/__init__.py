"""Wire messages, document format and platform objects."""

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
from radishtray_protocol._parse import (
    ParsedSource,
    combine_sources,
    parse_document,
    parse_source,
)
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
    section_object,
)
from radishtray_protocol._sections import (
    join_sections,
    section_digest,
    split_sections,
)

__all__ = [
    "DEFAULTS_KEYS",
    "DEFAULTS_SECTION",
    "KIND_KEYS",
    "MAX_HISTORY_CHANGES",
    "MAX_VALUE_BYTES",
    "RELEASE_OBJECT",
    "Change",
    "DigestChange",
    "Document",
    "Finding",
    "KeySpec",
    "KeyType",
    "ParsedSource",
    "PriorityClass",
    "Release",
    "ReleaseError",
    "RequestKind",
    "ServiceSection",
    "combine_sources",
    "decode_release",
    "join_sections",
    "next_release",
    "parse_document",
    "parse_source",
    "section_digest",
    "section_object",
    "split_sections",
]
