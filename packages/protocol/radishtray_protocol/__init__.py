"""Wire messages, document format and platform objects."""

from radishtray_protocol._document import (
    DEFAULTS_SECTION,
    Document,
    RequestKind,
    ServiceSection,
)
from radishtray_protocol._document_keys import PriorityClass
from radishtray_protocol._findings import Finding
from radishtray_protocol._parse import (
    ParsedSource,
    combine_sources,
    parse_document,
    parse_source,
)

__all__ = [
    "DEFAULTS_SECTION",
    "Document",
    "Finding",
    "ParsedSource",
    "PriorityClass",
    "RequestKind",
    "ServiceSection",
    "combine_sources",
    "parse_document",
    "parse_source",
]
