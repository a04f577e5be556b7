"""Parses one text of a document to sections and collects its findings."""

import difflib
from collections.abc import Iterator, Mapping
from typing import Final

import yaml

from radishtray_protocol._document import (
    DEFAULTS_SECTION,
    DOCUMENT_FORMAT,
)
from radishtray_protocol._document_keys import (
    DEFAULTS_KEYS,
    KIND_KEYS,
    MAX_KINDS_PER_SERVICE,
    NAME_PATTERN,
    OWNER_KEY,
    KeySpec,
    KeyType,
    validate_call_target,
)
from radishtray_protocol._findings import Finding
from radishtray_protocol._parsed_source import (
    LocatedValue,
    ParsedKind,
    ParsedSection,
    ParsedSource,
)
from radishtray_protocol._path_template import validate_path
from radishtray_protocol._yaml_nodes import compose_node, scalar_value

MAX_SECTION_BYTES: Final = 1_000_000  # The platform's limit for a value.
MAX_DOCUMENT_CHARS: Final = 16_000_000
_ROOT_KEYS: Final = ("format", "defaults", "services")
_NAME_RULE: Final = (
    "must be a lower-case letter, then up to 62 of a-z, 0-9, _ and -"
)


class SourceParser:
    """Parses the YAML nodes of one text and collects sections and findings.

    An invalid value is reported and left out, and parsing continues, so that
    one run reports all findings.
    """

    __slots__ = (
        "_findings",
        "_misspelled_keys",
        "_section_name",
        "_sections",
        "_source",
        "_text",
    )

    def __init__(self, source: str) -> None:
        self._source = source
        self._text = ""
        self._section_name = ""
        self._sections: list[ParsedSection] = []
        self._findings: list[Finding] = []
        # Start offset of a mapping, and a known key that is misspelled in it.
        self._misspelled_keys: set[tuple[int, str]] = set()

    def parse(self, text: str) -> ParsedSource:
        self._parse_text(text)
        return ParsedSource(tuple(self._sections), tuple(self._findings))

    def _parse_text(self, text: str) -> None:
        if len(text) > MAX_DOCUMENT_CHARS:
            message = f"the text exceeds {MAX_DOCUMENT_CHARS} characters"
            self._add_finding_at(1, 1, "", message)
            return
        self._text = text
        composed = compose_node(text)
        if composed.is_error():
            error = composed.error
            self._add_finding_at(error.line, error.column, "", error.message)
            return
        if composed.ok is None:
            self._add_finding_at(1, 1, "", "the document is empty")
            return
        self._parse_root(composed.ok)

    def _parse_root(self, root: yaml.Node) -> None:
        nodes = {}
        for name, _, value in self._iter_entries(root, "", _ROOT_KEYS):
            nodes[name] = value
        if self._is_missing(root, "format"):
            self._add_finding(
                root, "format", f"is missing; add {_format_line()}"
            )
        elif (
            "format" in nodes
            and scalar_value(nodes["format"]) != DOCUMENT_FORMAT
        ):
            self._add_finding(
                nodes["format"], "format", f"must be {DOCUMENT_FORMAT}"
            )
        if "defaults" in nodes:
            self._parse_defaults(nodes["defaults"])
        if "services" in nodes:
            self._parse_services(nodes["services"])

    def _parse_defaults(self, node: yaml.Node) -> None:
        self._section_name = DEFAULTS_SECTION
        section = ParsedSection(
            self._source, LocatedValue(node, DEFAULTS_SECTION)
        )
        self._sections.append(section)
        self._check_size(node)
        for name, _, value in self._iter_entries(node, "", DEFAULTS_KEYS):
            self._parse_value(DEFAULTS_KEYS[name], value, name, section.values)
        self._require_owner(node, section)
        self._section_name = ""

    def _parse_services(self, node: yaml.Node) -> None:
        for name, key_node, value in self._iter_entries(node, "services"):
            self._section_name = name
            if name == DEFAULTS_SECTION:
                self._add_finding(key_node, "", "this service name is reserved")
                continue
            if not NAME_PATTERN.match(name):
                self._add_finding(key_node, "", f"service name {_NAME_RULE}")
                continue
            self._parse_service(LocatedValue(key_node, name), value)
        self._section_name = ""

    def _parse_service(self, name: LocatedValue, node: yaml.Node) -> None:
        section = ParsedSection(self._source, name)
        self._sections.append(section)
        self._check_size(node)
        for key, _, value in self._iter_entries(node, "", ("owner", "kinds")):
            if key == "owner":
                self._parse_value(OWNER_KEY, value, key, section.values)
            else:
                self._parse_kinds(section, value)
        if self._is_missing(node, "kinds"):
            self._add_finding(node, "kinds", "is missing")
        self._require_owner(node, section)

    def _parse_kinds(self, section: ParsedSection, node: yaml.Node) -> None:
        if isinstance(node, yaml.MappingNode) and not node.value:
            self._add_finding(node, "kinds", "must list at least one kind")
        for name, key_node, value in self._iter_entries(node, "kinds"):
            if not NAME_PATTERN.match(name):
                self._add_finding(
                    key_node, f"kinds.{name}", f"kind name {_NAME_RULE}"
                )
                continue
            if len(section.kinds) == MAX_KINDS_PER_SERVICE:
                self._add_finding(
                    key_node,
                    "kinds",
                    f"must list at most {MAX_KINDS_PER_SERVICE} kinds",
                )
                return
            section.kinds.append(self._parse_kind(key_node, name, value))

    def _parse_kind(
        self, key_node: yaml.Node, name: str, node: yaml.Node
    ) -> ParsedKind:
        kind = ParsedKind(LocatedValue(key_node, name))
        prefix = f"kinds.{name}"
        for key, _, value in self._iter_entries(node, prefix, KIND_KEYS):
            self._parse_value(
                KIND_KEYS[key], value, f"{prefix}.{key}", kind.values
            )
        for spec in KIND_KEYS.values():
            if spec.required and self._is_missing(node, spec.name):
                self._add_finding(
                    key_node, f"{prefix}.{spec.name}", "is missing"
                )
        self._check_kind(kind, prefix)
        return kind

    def _check_kind(self, kind: ParsedKind, prefix: str) -> None:
        path = kind.values.get("path")
        error = validate_path(path.value) if path else None
        if path and error:
            del kind.values["path"]
            self._add_finding_at(
                path.line, path.column, f"{prefix}.path", error
            )
        at_most_once = kind.values.get("at_most_once")
        idempotent = kind.values.get("idempotent")
        if (
            at_most_once
            and at_most_once.value
            and idempotent
            and idempotent.value
        ):
            self._add_finding_at(
                idempotent.line,
                idempotent.column,
                f"{prefix}.idempotent",
                "must be false, because at_most_once is true",
            )

    def _parse_value(
        self,
        spec: KeySpec,
        node: yaml.Node,
        key: str,
        values: dict[str, LocatedValue],
    ) -> None:
        """Adds the value of a key to values, or a finding if it is invalid."""
        if spec.key_type is KeyType.LIST:
            self._parse_call_targets(spec, node, key, values)
            return
        value = scalar_value(node)
        error = spec.validate(value)
        if error is None:
            values[spec.name] = LocatedValue(node, value)
            return
        self._add_finding(node, key, f"{error}, found {_describe_node(node)}")

    def _parse_call_targets(
        self,
        spec: KeySpec,
        node: yaml.Node,
        key: str,
        values: dict[str, LocatedValue],
    ) -> None:
        if not isinstance(node, yaml.SequenceNode):
            self._add_finding(
                node, key, f"expected a list, found {_describe_node(node)}"
            )
            return
        targets: list[LocatedValue] = []
        for item in node.value:
            value = scalar_value(item)
            error = validate_call_target(value)
            if error:
                self._add_finding(
                    item, key, f"{error}, found {_describe_node(item)}"
                )
            elif any(value == target.value for target in targets):
                self._add_finding(item, key, f"{value} occurs twice")
            else:
                targets.append(LocatedValue(item, value))
        values[spec.name] = LocatedValue(node, targets)

    def _iter_entries(
        self,
        node: yaml.Node,
        prefix: str,
        allowed: tuple[str, ...] | Mapping[str, KeySpec] | None = None,
    ) -> Iterator[tuple[str, yaml.Node, yaml.Node]]:
        """Yields the valid entries of a mapping and reports the others.

        Args:
            node: Node that must be a mapping.
            prefix: Dotted key of the node, or empty.
            allowed: Known keys; None allows any key.

        Yields:
            Key, node of the key, and node of the value.
        """
        if not isinstance(node, yaml.MappingNode):
            self._add_finding(
                node,
                prefix,
                f"expected a mapping, found {_describe_node(node)}",
            )
            return
        first_lines: dict[str, int] = {}
        for key_node, value in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_finding(
                    key_node,
                    prefix,
                    "a key must be a word, not a list or a mapping",
                )
                continue
            name = key_node.value
            key = f"{prefix}.{name}" if prefix else name
            if name in first_lines:
                self._add_finding(
                    key_node,
                    key,
                    f"occurs twice, first in line {first_lines[name]}",
                )
                continue
            first_lines[name] = key_node.start_mark.line + 1
            if allowed is not None and name not in allowed:
                self._add_unknown_key_finding(node, key_node, key, allowed)
                continue
            yield name, key_node, value

    def _add_unknown_key_finding(
        self,
        node: yaml.Node,
        key_node: yaml.Node,
        key: str,
        allowed: tuple[str, ...] | Mapping[str, KeySpec],
    ) -> None:
        suggestions = difflib.get_close_matches(key_node.value, allowed, 1)
        # Remembered so that a misspelled key is not also reported as missing.
        self._misspelled_keys.update(
            (node.start_mark.index, suggestion) for suggestion in suggestions
        )
        hint = f", did you mean {suggestions[0]}?" if suggestions else ""
        known = ", ".join(allowed)
        self._add_finding(key_node, key, f"unknown key{hint}; known: {known}")

    def _is_missing(self, node: yaml.Node, name: str) -> bool:
        """Returns whether a mapping lacks a key, also in a misspelled form."""
        return (
            isinstance(node, yaml.MappingNode)
            and not any(key.value == name for key, _ in node.value)
            and (node.start_mark.index, name) not in self._misspelled_keys
        )

    def _require_owner(self, node: yaml.Node, section: ParsedSection) -> None:
        if self._is_missing(node, "owner"):
            name = section.name
            self._add_finding_at(name.line, name.column, "owner", "is missing")

    def _check_size(self, node: yaml.Node) -> None:
        text = self._text[node.start_mark.index : node.end_mark.index]
        if len(text.encode()) > MAX_SECTION_BYTES:
            self._add_finding(
                node, "", f"the section exceeds {MAX_SECTION_BYTES} bytes"
            )

    def _add_finding(self, node: yaml.Node, key: str, message: str) -> None:
        mark = node.start_mark
        self._add_finding_at(mark.line + 1, mark.column + 1, key, message)

    def _add_finding_at(
        self, line: int, column: int, key: str, message: str
    ) -> None:
        self._findings.append(
            Finding(
                self._source, self._section_name, line, column, key, message
            )
        )


def _describe_node(node: yaml.Node) -> str:
    """Describes a node for the end of a message, with long text shortened."""
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    text = str(node.value)
    shown = text if len(text) <= 40 else text[:37] + "..."
    return repr(shown) if shown else "nothing"


def _format_line() -> str:
    return f"format: {DOCUMENT_FORMAT}"
