"""One text of a document to drafts of its sections, with all findings."""

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
    target_problem,
)
from radishtray_protocol._findings import Finding
from radishtray_protocol._parsed_source import (
    KindDraft,
    Located,
    ParsedSource,
    SectionDraft,
)
from radishtray_protocol._path_template import path_problem
from radishtray_protocol._yaml_nodes import compose_node, scalar_value

MAX_SECTION_BYTES: Final = 1_000_000  # The platform's limit of a value.
MAX_DOCUMENT_CHARS: Final = 16_000_000
_TOP_KEYS: Final = ("format", "defaults", "services")
_NAME_RULE: Final = (
    "must be a lower-case letter, then up to 62 of a-z, 0-9, _ and -"
)


class SourceParser:
    """Walks the nodes of one text and collects drafts and findings."""

    __slots__ = (
        "_findings",
        "_misspelt",
        "_section",
        "_sections",
        "_source",
        "_text",
    )

    def __init__(self, source: str) -> None:
        self._source = source
        self._text = ""
        self._section = ""
        self._sections: list[SectionDraft] = []
        self._findings: list[Finding] = []
        # Starts of mappings, and the known keys misspelt there.
        self._misspelt: set[tuple[int, str]] = set()

    def parse(self, text: str) -> ParsedSource:
        self._parse_text(text)
        return ParsedSource(tuple(self._sections), tuple(self._findings))

    def _parse_text(self, text: str) -> None:
        if len(text) > MAX_DOCUMENT_CHARS:
            message = f"the text exceeds {MAX_DOCUMENT_CHARS} characters"
            self._report_at(1, 1, "", message)
            return
        self._text = text
        composed = compose_node(text)
        if composed.is_error():
            fault = composed.error
            self._report_at(fault.line, fault.column, "", fault.message)
            return
        if composed.ok is None:
            self._report_at(1, 1, "", "the document is empty")
            return
        self._parse_top(composed.ok)

    def _parse_top(self, root: yaml.Node) -> None:
        seen = {}
        for name, _, value in self._entries(root, "", _TOP_KEYS):
            seen[name] = value
        if self._is_missing(root, "format"):
            self._report(root, "format", f"is missing; add {_format_line()}")
        elif (
            "format" in seen and scalar_value(seen["format"]) != DOCUMENT_FORMAT
        ):
            self._report(seen["format"], "format", f"must be {DOCUMENT_FORMAT}")
        if "defaults" in seen:
            self._parse_defaults(seen["defaults"])
        if "services" in seen:
            self._parse_services(seen["services"])

    def _parse_defaults(self, node: yaml.Node) -> None:
        self._section = DEFAULTS_SECTION
        draft = SectionDraft(self._source, Located(node, DEFAULTS_SECTION))
        self._sections.append(draft)
        self._check_size(node)
        for name, _, value in self._entries(node, "", DEFAULTS_KEYS):
            self._read(DEFAULTS_KEYS[name], value, name, draft.values)
        self._require_owner(node, draft)
        self._section = ""

    def _parse_services(self, node: yaml.Node) -> None:
        for name, key_node, value in self._entries(node, "services"):
            self._section = name
            if name == DEFAULTS_SECTION:
                self._report(key_node, "", "the name is reserved")
                continue
            if not NAME_PATTERN.match(name):
                self._report(key_node, "", f"service name {_NAME_RULE}")
                continue
            self._parse_service(Located(key_node, name), value)
        self._section = ""

    def _parse_service(self, name: Located, node: yaml.Node) -> None:
        draft = SectionDraft(self._source, name)
        self._sections.append(draft)
        self._check_size(node)
        for key, _, value in self._entries(node, "", ("owner", "kinds")):
            if key == "owner":
                self._read(OWNER_KEY, value, key, draft.values)
            else:
                self._parse_kinds(draft, value)
        if self._is_missing(node, "kinds"):
            self._report(node, "kinds", "is missing")
        self._require_owner(node, draft)

    def _parse_kinds(self, draft: SectionDraft, node: yaml.Node) -> None:
        if isinstance(node, yaml.MappingNode) and not node.value:
            self._report(node, "kinds", "must list at least one kind")
        for name, key_node, value in self._entries(node, "kinds"):
            if not NAME_PATTERN.match(name):
                self._report(
                    key_node, f"kinds.{name}", f"kind name {_NAME_RULE}"
                )
                continue
            if len(draft.kinds) == MAX_KINDS_PER_SERVICE:
                self._report(
                    key_node,
                    "kinds",
                    f"must list at most {MAX_KINDS_PER_SERVICE} kinds",
                )
                return
            draft.kinds.append(self._parse_kind(key_node, name, value))

    def _parse_kind(
        self, key_node: yaml.Node, name: str, node: yaml.Node
    ) -> KindDraft:
        kind = KindDraft(Located(key_node, name))
        prefix = f"kinds.{name}"
        for key, _, value in self._entries(node, prefix, KIND_KEYS):
            self._read(KIND_KEYS[key], value, f"{prefix}.{key}", kind.values)
        for spec in KIND_KEYS.values():
            if spec.required and self._is_missing(node, spec.name):
                self._report(key_node, f"{prefix}.{spec.name}", "is missing")
        self._check_kind(kind, prefix)
        return kind

    def _check_kind(self, kind: KindDraft, prefix: str) -> None:
        path = kind.values.get("path")
        problem = path_problem(path.value) if path else None
        if path and problem:
            del kind.values["path"]
            self._report_at(path.line, path.column, f"{prefix}.path", problem)
        once = kind.values.get("at_most_once")
        idempotent = kind.values.get("idempotent")
        if once and once.value and idempotent and idempotent.value:
            self._report_at(
                idempotent.line,
                idempotent.column,
                f"{prefix}.idempotent",
                "must be false, because at_most_once is true",
            )

    def _read(
        self,
        spec: KeySpec,
        node: yaml.Node,
        key: str,
        into: dict[str, Located],
    ) -> None:
        if spec.key_type is KeyType.LIST:
            self._read_targets(spec, node, key, into)
            return
        value = scalar_value(node)
        problem = spec.problem(value)
        if problem is None:
            into[spec.name] = Located(node, value)
            return
        self._report(node, key, f"{problem}, found {_describe(node)}")

    def _read_targets(
        self,
        spec: KeySpec,
        node: yaml.Node,
        key: str,
        into: dict[str, Located],
    ) -> None:
        if not isinstance(node, yaml.SequenceNode):
            self._report(node, key, f"expected a list, found {_describe(node)}")
            return
        targets: list[Located] = []
        for item in node.value:
            value = scalar_value(item)
            problem = target_problem(value)
            if problem:
                self._report(item, key, f"{problem}, found {_describe(item)}")
            elif any(value == target.value for target in targets):
                self._report(item, key, f"{value} occurs twice")
            else:
                targets.append(Located(item, value))
        into[spec.name] = Located(node, targets)

    def _entries(
        self,
        node: yaml.Node,
        prefix: str,
        allowed: tuple[str, ...] | Mapping[str, KeySpec] | None = None,
    ) -> Iterator[tuple[str, yaml.Node, yaml.Node]]:
        """Yields the well-formed entries of a mapping."""
        if not isinstance(node, yaml.MappingNode):
            self._report(
                node, prefix, f"expected a mapping, found {_describe(node)}"
            )
            return
        seen: dict[str, int] = {}
        for key_node, value in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._report(key_node, prefix, "a key must be a plain word")
                continue
            name = key_node.value
            key = f"{prefix}.{name}" if prefix else name
            if name in seen:
                self._report(
                    key_node, key, f"occurs twice, first in line {seen[name]}"
                )
                continue
            seen[name] = key_node.start_mark.line + 1
            if allowed is not None and name not in allowed:
                self._report_unknown_key(node, key_node, key, allowed)
                continue
            yield name, key_node, value

    def _report_unknown_key(
        self,
        node: yaml.Node,
        key_node: yaml.Node,
        key: str,
        allowed: tuple[str, ...] | Mapping[str, KeySpec],
    ) -> None:
        close = difflib.get_close_matches(key_node.value, allowed, 1)
        # A misspelt key is one finding, not also a missing key.
        self._misspelt.update((node.start_mark.index, word) for word in close)
        hint = f", did you mean {close[0]}?" if close else ""
        known = ", ".join(allowed)
        self._report(key_node, key, f"unknown key{hint}; known: {known}")

    def _is_missing(self, node: yaml.Node, name: str) -> bool:
        return (
            isinstance(node, yaml.MappingNode)
            and not any(key.value == name for key, _ in node.value)
            and (node.start_mark.index, name) not in self._misspelt
        )

    def _require_owner(self, node: yaml.Node, draft: SectionDraft) -> None:
        if self._is_missing(node, "owner"):
            name = draft.name
            self._report_at(name.line, name.column, "owner", "is missing")

    def _check_size(self, node: yaml.Node) -> None:
        text = self._text[node.start_mark.index : node.end_mark.index]
        if len(text.encode()) > MAX_SECTION_BYTES:
            self._report(
                node, "", f"the section exceeds {MAX_SECTION_BYTES} bytes"
            )

    def _report(self, node: yaml.Node, key: str, message: str) -> None:
        mark = node.start_mark
        self._report_at(mark.line + 1, mark.column + 1, key, message)

    def _report_at(
        self, line: int, column: int, key: str, message: str
    ) -> None:
        self._findings.append(
            Finding(self._source, self._section, line, column, key, message)
        )


def _describe(node: yaml.Node) -> str:
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    text = str(node.value)
    shown = text if len(text) <= 40 else text[:37] + "..."
    return repr(shown) if shown else "nothing"


def _format_line() -> str:
    return f"format: {DOCUMENT_FORMAT}"
