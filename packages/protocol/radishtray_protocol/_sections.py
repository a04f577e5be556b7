"""Splits a document into section texts and joins section texts.

Each section text is a document of its own, so that a section can be stored,
parsed and edited separately. Comments directly above and inside a section stay
with it.
"""

import hashlib
from collections.abc import Mapping
from typing import Final

import yaml

from radishtray_protocol._document import DEFAULTS_SECTION, DOCUMENT_FORMAT
from radishtray_protocol._yaml_nodes import compose_node

_FORMAT_LINE: Final = f"format: {DOCUMENT_FORMAT}\n"
_SERVICES_LINE: Final = "services:\n"
_SERVICE_INDENT_COLUMNS: Final = 2

_Entry = tuple[yaml.ScalarNode, yaml.Node]


def section_digest(text: str) -> str:
    """Returns the SHA-256 digest of a section text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def split_sections(text: str) -> dict[str, str]:
    """Splits a document into one text for each section.

    Args:
        text: A document without findings, or one of its texts.

    Returns:
        Section texts by section name, in the order of the document.

    Raises:
        ValueError: If the text is not a mapping of sections.
    """
    return {
        name: _header(name) + entry_text
        for name, entry_text in _section_entry_texts(text).items()
    }


def join_sections(sections: Mapping[str, str]) -> str:
    """Joins section texts into one document; reverses `split_sections`.

    Args:
        sections: Section texts by section name.

    Raises:
        ValueError: If a text does not contain exactly the named section.
    """
    entry_texts: dict[str, str] = {}
    for name, text in sections.items():
        found = _section_entry_texts(text)
        if list(found) != [name]:
            raise ValueError(
                f"section text of {name} contains sections {list(found)}"
            )
        entry_texts.update(found)
    defaults = entry_texts.pop(DEFAULTS_SECTION, "")
    services = (
        _SERVICES_LINE + "\n".join(entry_texts.values()) if entry_texts else ""
    )
    separator = "\n" if defaults and services else ""
    return _FORMAT_LINE + defaults + separator + services


def _header(name: str) -> str:
    """Returns the lines that precede a section's entry in its section text."""
    if name == DEFAULTS_SECTION:
        return _FORMAT_LINE
    return _FORMAT_LINE + _SERVICES_LINE


def _section_entry_texts(text: str) -> dict[str, str]:
    """Returns the lines of each section's mapping entry by section name."""
    composed = compose_node(text)
    if composed.is_error():
        error = composed.error
        raise ValueError(f"{error.line}:{error.column}: {error.message}")
    root = composed.ok
    if not isinstance(root, yaml.MappingNode):
        raise ValueError("the document is not a mapping")
    lines = text.splitlines(keepends=True)
    entry_texts: dict[str, str] = {}
    for (key, value), end_line in _entries_with_end_lines(
        root, lines, len(lines)
    ):
        if key.value == DEFAULTS_SECTION:
            entry_texts[key.value] = _entry_text(
                (key, value), lines, end_line, 0
            )
        elif key.value == "services" and isinstance(value, yaml.MappingNode):
            for entry, entry_end_line in _entries_with_end_lines(
                value, lines, end_line
            ):
                entry_texts[entry[0].value] = _entry_text(
                    entry, lines, entry_end_line, _SERVICE_INDENT_COLUMNS
                )
    return entry_texts


def _entries_with_end_lines(
    node: yaml.MappingNode, lines: list[str], end_line: int
) -> list[tuple[_Entry, int]]:
    """Pairs each entry of a mapping with the line index that follows it.

    Args:
        node: A mapping.
        lines: All lines of the text.
        end_line: Line index that follows the mapping.
    """
    starts = [_first_line_index(key, lines) for key, _ in node.value]
    return list(zip(node.value, starts[1:] + [end_line], strict=True))


def _first_line_index(key: yaml.Node, lines: list[str]) -> int:
    """Returns the index of a key's line, or of the first comment above it."""
    index: int = key.start_mark.line
    while index > 0 and lines[index - 1].lstrip().startswith("#"):
        index -= 1
    return index


def _entry_text(
    entry: _Entry, lines: list[str], end_line: int, indent_columns: int
) -> str:
    """Returns the lines of an entry, moved to the given indentation.

    If the moved lines do not parse to the same entry, which happens in flow
    style, the entry is serialized again, and its comments are lost.
    """
    key, _ = entry
    shift_columns = indent_columns - key.start_mark.column
    reindented = [
        _reindent_line(line, shift_columns)
        for line in lines[_first_line_index(key, lines) : end_line]
    ]
    entry_text = "".join(reindented).rstrip() + "\n"
    if _is_same_entry(entry_text, entry):
        return entry_text
    return _serialize_entry(entry, indent_columns)


def _reindent_line(line: str, shift_columns: int) -> str:
    """Indents a line by shift_columns, or unindents it if they are negative."""
    if not line.strip():
        return "\n"
    if shift_columns >= 0:
        return " " * shift_columns + line
    return (
        line[-shift_columns:]
        if not line[:-shift_columns].strip()
        else line.lstrip()
    )


def _is_same_entry(entry_text: str, entry: _Entry) -> bool:
    """Returns whether a moved entry text still parses to the given entry."""
    composed = compose_node(entry_text)
    if composed.is_error() or not isinstance(composed.ok, yaml.MappingNode):
        return False
    return _node_content(composed.ok) == _node_content(
        _single_entry_mapping(entry)
    )


def _node_content(node: yaml.Node) -> object:
    """Returns the content of a node, without positions, for comparison.

    For a scalar it includes whether the text is plain, because only a plain
    scalar can mean a number, a boolean or null.
    """
    if isinstance(node, yaml.MappingNode):
        return [
            (_node_content(key), _node_content(value))
            for key, value in node.value
        ]
    if isinstance(node, yaml.SequenceNode):
        return ("sequence", [_node_content(item) for item in node.value])
    return (node.tag, node.value, _scalar_style(node) in ("'", '"', "|", ">"))


def _scalar_style(node: yaml.Node) -> str | None:
    return node.style if isinstance(node, yaml.ScalarNode) else None


def _single_entry_mapping(entry: _Entry) -> yaml.MappingNode:
    return yaml.MappingNode("tag:yaml.org,2002:map", [entry], flow_style=False)


def _serialize_entry(entry: _Entry, indent_columns: int) -> str:
    """Serializes an entry in block style, without its comments."""
    text: str = yaml.serialize(
        _single_entry_mapping(entry),
        Dumper=yaml.SafeDumper,
        allow_unicode=True,
        width=1_000_000,
    )
    return "".join(
        " " * indent_columns + line for line in text.splitlines(keepends=True)
    )
