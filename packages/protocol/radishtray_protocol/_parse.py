"""Parses configuration documents and collects all their findings."""

from collections.abc import Mapping

from expression import Result

from radishtray_protocol._document import Document
from radishtray_protocol._findings import Finding
from radishtray_protocol._parsed_source import ParsedSource
from radishtray_protocol._section_combiner import SectionCombiner
from radishtray_protocol._source_parser import SourceParser


def parse_source(source: str, text: str) -> ParsedSource:
    """Parses one text without the checks that span sections.

    Args:
        source: File name or object name of the text.
        text: A whole document or a single section, with `format: 1`.
    """
    return SourceParser(source).parse(text)


def parse_document(
    texts: Mapping[str, str], *, partial: bool = False
) -> Result[Document, list[Finding]]:
    """Parses a document that consists of one or more texts.

    Args:
        texts: Texts by source name, each with one or more sections.
        partial: Whether services may be missing. If so, calls to missing
            services are not checked.

    Returns:
        The document, or all findings in the order of their positions.
    """
    return combine_sources(
        [parse_source(source, text) for source, text in texts.items()],
        partial=partial,
    )


def combine_sources(
    sources: list[ParsedSource], *, partial: bool = False
) -> Result[Document, list[Finding]]:
    """Combines parsed texts into one document.

    Args:
        sources: Results of `parse_source`.
        partial: Whether services may be missing, as for `parse_document`.

    Returns:
        The document, or all findings in the order of their positions.
    """
    combiner = SectionCombiner(partial)
    for parsed in sources:
        combiner.findings.extend(parsed.findings)
        for section in parsed.sections:
            combiner.add_section(section)
    return combiner.build_document()
