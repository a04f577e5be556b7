"""Splits a document into section texts and joins them again.

Each section text is a document by itself, so a section can be stored, parsed
and edited alone. Comments that precede or lie within a section stay with it.
"""

import hashlib
from collections.abc import Mapping
from typing import Final

import yaml

from radishtray_protocol._document import DEFAULTS_SECTION, DOCUMENT_FORMAT
from radishtray_protocol._yaml_nodes import compose_node

_FORMAT_LINE: Final = f"format: {DOCUMENT_FORMAT}\n"
_SERVICES_LINE: Final = "services:\n"
_SERVICE_INDENT: Final = 2

_Entry = tuple[yaml.ScalarNode, yaml.Node]


def section_digest(text: str) -> str:
    """Returns the SHA-256 of a section text in hexadecimal."""
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
        name: _header(name) + body
        for name, body in _section_entry_texts(text).items()
    }


def join_sections(sections: Mapping[str, str]) -> str:
    """Joins section texts into one document; reverses `split_sections`.

    Args:
        sections: Section texts by section name.

    Raises:
        ValueError: If a text does not hold exactly the section of its name.
    """
    bodies: dict[str, str] = {}
    for name, text in sections.items():
        found = _section_entry_texts(text)
        if list(found) != [name]:
            raise ValueError(f"section text of {name} holds {list(found)}")
        bodies.update(found)
    defaults = bodies.pop(DEFAULTS_SECTION, "")
    services = _SERVICES_LINE + "\n".join(bodies.values()) if bodies else ""
    gap = "\n" if defaults and services else ""
    return _FORMAT_LINE + defaults + gap + services


def _header(name: str) -> str:
    if name == DEFAULTS_SECTION:
        return _FORMAT_LINE
    return _FORMAT_LINE + _SERVICES_LINE


def _section_entry_texts(text: str) -> dict[str, str]:
    composed = compose_node(text)
    if composed.is_error():
        fault = composed.error
        raise ValueError(f"{fault.line}:{fault.column}: {fault.message}")
    root = composed.ok
    if not isinstance(root, yaml.MappingNode):
        raise ValueError("the document is not a mapping")
    lines = text.splitlines(keepends=True)
    bodies: dict[str, str] = {}
    for (key, value), end in _entries_with_end_lines(root, lines, len(lines)):
        if key.value == DEFAULTS_SECTION:
            bodies[key.value] = _entry_text((key, value), lines, end, 0)
        elif key.value == "services" and isinstance(value, yaml.MappingNode):
            for entry, entry_end in _entries_with_end_lines(value, lines, end):
                bodies[entry[0].value] = _entry_text(
                    entry, lines, entry_end, _SERVICE_INDENT
                )
    return bodies


def _entries_with_end_lines(
    node: yaml.MappingNode, lines: list[str], end: int
) -> list[tuple[_Entry, int]]:
    """Pairs each entry with the line index at which the next one starts."""
    starts = [_first_line_index(key, lines) for key, _ in node.value]
    return list(zip(node.value, starts[1:] + [end], strict=True))


def _first_line_index(key: yaml.Node, lines: list[str]) -> int:
    """Returns the line index of a key or of the comment lines above it."""
    index: int = key.start_mark.line
    while index > 0 and lines[index - 1].lstrip().startswith("#"):
        index -= 1
    return index


def _entry_text(entry: _Entry, lines: list[str], end: int, indent: int) -> str:
    """Returns the lines of an entry, moved to the given indentation."""
    key, _ = entry
    shift = indent - key.start_mark.column
    moved = [
        _reindent_line(line, shift)
        for line in lines[_first_line_index(key, lines) : end]
    ]
    body = "".join(moved).rstrip() + "\n"
    if _is_same_entry(body, entry):
        return body
    return _serialize_entry(entry, indent)


def _reindent_line(line: str, shift: int) -> str:
    if not line.strip():
        return "\n"
    if shift >= 0:
        return " " * shift + line
    return line[-shift:] if not line[:-shift].strip() else line.lstrip()


def _is_same_entry(body: str, entry: _Entry) -> bool:
    """Whether a moved body still means the entry that it was cut from."""
    composed = compose_node(body)
    if composed.is_error() or not isinstance(composed.ok, yaml.MappingNode):
        return False
    return _node_content(composed.ok) == _node_content(
        _single_entry_mapping(entry)
    )


def _node_content(node: yaml.Node) -> object:
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


def _serialize_entry(entry: _Entry, indent: int) -> str:
    """Writes an entry anew; needed for flow style, loses its comments."""
    text: str = yaml.serialize(
        _single_entry_mapping(entry),
        Dumper=yaml.SafeDumper,
        allow_unicode=True,
        width=1_000_000,
    )
    return "".join(
        " " * indent + line for line in text.splitlines(keepends=True)
    )
