"""Document text to Document, with all findings at once."""

import difflib
from collections.abc import Iterator, Mapping
from typing import Any, Final

import yaml
from expression import Error, Ok, Result

from radishtray_protocol._call_graph import find_cycles
from radishtray_protocol._document import (
    DEFAULTS_SECTION,
    DOCUMENT_FORMAT,
    Document,
    RequestKind,
    ServiceSection,
)
from radishtray_protocol._document_keys import (
    DEFAULTS_KEYS,
    KIND_KEYS,
    MAX_KINDS_PER_SERVICE,
    NAME_PATTERN,
    OWNER_KEY,
    KeySpec,
    KeyType,
    PriorityClass,
    target_problem,
)
from radishtray_protocol._findings import Finding
from radishtray_protocol._path_template import PathTemplate, path_problem
from radishtray_protocol._yaml_nodes import compose_node, scalar_value

MAX_SECTION_BYTES: Final = 1_000_000  # The platform's limit of a value.
MAX_DOCUMENT_CHARS: Final = 16_000_000
_TOP_KEYS: Final = ("format", "defaults", "services")
_NAME_RULE: Final = (
    "must be a lower-case letter, then up to 62 of a-z, 0-9, _ and -"
)


class _Located:
    """A value and its place."""

    __slots__ = ("column", "line", "value")

    def __init__(self, node: yaml.Node, value: Any) -> None:
        self.line: int = node.start_mark.line + 1
        self.column: int = node.start_mark.column + 1
        self.value = value


class _KindDraft:
    """A kind as written; keys with faults are absent."""

    __slots__ = ("name", "values")

    def __init__(self, name: _Located) -> None:
        self.name = name
        self.values: dict[str, _Located] = {}


class _SectionDraft:
    """A section as written; keys with faults are absent."""

    __slots__ = ("kinds", "name", "source", "values")

    def __init__(self, source: str, name: _Located) -> None:
        self.source = source
        self.name = name
        self.values: dict[str, _Located] = {}
        self.kinds: list[_KindDraft] = []


class ParsedSource:
    """The sections and findings of one text, before they are combined.

    A node keeps the parsed sources of unchanged sections, so that a change of
    one section does not parse the others again.
    """

    __slots__ = ("findings", "sections")

    def __init__(
        self,
        sections: tuple[_SectionDraft, ...],
        findings: tuple[Finding, ...],
    ) -> None:
        """Holds the result of `parse_source`."""
        self.sections = sections
        self.findings = findings


def parse_source(source: str, text: str) -> ParsedSource:
    """Parses one text of a document.

    Args:
        source: File name or object name of the text.
        text: A whole document or one section, with `format: 1`.
    """
    return _SourceParser(source).parse(text)


def parse_document(
    texts: Mapping[str, str], *, partial: bool = False
) -> Result[Document, list[Finding]]:
    """Parses a document that consists of one or more texts.

    Args:
        texts: Text by source name; sections may be spread over them.
        partial: Whether services may be missing; calls to missing services
            are then not checked.

    Returns:
        The document, or all findings in the order of their places.
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
        partial: As for `parse_document`.
    """
    combiner = _Combiner(partial)
    for parsed in sources:
        combiner.findings.extend(parsed.findings)
        for section in parsed.sections:
            combiner.add(section)
    return combiner.finish()


class _SourceParser:
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
        self._sections: list[_SectionDraft] = []
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
        draft = _SectionDraft(self._source, _Located(node, DEFAULTS_SECTION))
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
            self._parse_service(_Located(key_node, name), value)
        self._section = ""

    def _parse_service(self, name: _Located, node: yaml.Node) -> None:
        draft = _SectionDraft(self._source, name)
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

    def _parse_kinds(self, draft: _SectionDraft, node: yaml.Node) -> None:
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
    ) -> _KindDraft:
        kind = _KindDraft(_Located(key_node, name))
        prefix = f"kinds.{name}"
        for key, _, value in self._entries(node, prefix, KIND_KEYS):
            self._read(KIND_KEYS[key], value, f"{prefix}.{key}", kind.values)
        for spec in KIND_KEYS.values():
            if spec.required and self._is_missing(node, spec.name):
                self._report(key_node, f"{prefix}.{spec.name}", "is missing")
        self._check_kind(kind, prefix)
        return kind

    def _check_kind(self, kind: _KindDraft, prefix: str) -> None:
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
        into: dict[str, _Located],
    ) -> None:
        if spec.key_type is KeyType.LIST:
            self._read_targets(spec, node, key, into)
            return
        value = scalar_value(node)
        problem = spec.problem(value)
        if problem is None:
            into[spec.name] = _Located(node, value)
            return
        self._report(node, key, f"{problem}, found {_describe(node)}")

    def _read_targets(
        self,
        spec: KeySpec,
        node: yaml.Node,
        key: str,
        into: dict[str, _Located],
    ) -> None:
        if not isinstance(node, yaml.SequenceNode):
            self._report(node, key, f"expected a list, found {_describe(node)}")
            return
        targets: list[_Located] = []
        for item in node.value:
            value = scalar_value(item)
            problem = target_problem(value)
            if problem:
                self._report(item, key, f"{problem}, found {_describe(item)}")
            elif any(value == target.value for target in targets):
                self._report(item, key, f"{value} occurs twice")
            else:
                targets.append(_Located(item, value))
        into[spec.name] = _Located(node, targets)

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

    def _require_owner(self, node: yaml.Node, draft: _SectionDraft) -> None:
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


class _Combiner:
    """Checks what spans sections and builds the document."""

    __slots__ = ("_by_name", "_partial", "findings")

    def __init__(self, partial: bool) -> None:
        self._partial = partial
        self._by_name: dict[str, _SectionDraft] = {}
        self.findings: list[Finding] = []

    def add(self, section: _SectionDraft) -> None:
        name = section.name.value
        first = self._by_name.setdefault(name, section)
        if first is not section:
            self._report(
                section,
                section.name,
                "",
                "the section occurs twice, first at"
                f" {first.source}:{first.name.line}",
            )

    def finish(self) -> Result[Document, list[Finding]]:
        services = [
            section
            for name, section in self._by_name.items()
            if name != DEFAULTS_SECTION
        ]
        if not services and not self._partial and not self.findings:
            self.findings.append(
                Finding("", "", 1, 1, "services", "there is no service")
            )
        for section in services:
            self._check_paths(section)
        self._check_calls(services)
        if self.findings:
            return Error(sorted(self.findings, key=_place))
        return Ok(self._build(services))

    def _check_paths(self, section: _SectionDraft) -> None:
        known: dict[tuple[str, int], list[tuple[str, PathTemplate]]] = {}
        for kind in section.kinds:
            method, path = kind.values.get("method"), kind.values.get("path")
            if method is None or path is None:
                continue
            template = PathTemplate(path.value)
            key = (method.value, len(template.segments))
            others = known.setdefault(key, [])
            for other_name, other in others:
                if other.is_literal == template.is_literal and other.overlaps(
                    template
                ):
                    self._report(
                        section,
                        path,
                        f"kinds.{kind.name.value}.path",
                        f"is ambiguous with {other.text} of {other_name}",
                    )
                    break
            others.append((kind.name.value, template))

    def _check_calls(self, services: list[_SectionDraft]) -> None:
        kinds = {
            f"{section.name.value}/{kind.name.value}": (section, kind)
            for section in services
            for kind in section.kinds
        }
        graph: dict[str, list[str]] = {}
        for caller, (section, kind) in kinds.items():
            graph[caller] = []
            for target in _targets(kind):
                if target.value in kinds:
                    graph[caller].append(target.value)
                else:
                    self._report_unknown(section, kind, target)
        for cycle in find_cycles(graph):
            section, kind = kinds[cycle[-2]]
            for target in _targets(kind):
                if target.value == cycle[-1]:
                    self._report(
                        section,
                        target,
                        f"kinds.{kind.name.value}.calls",
                        f"calls form a cycle: {' -> '.join(cycle)}",
                    )

    def _report_unknown(
        self, section: _SectionDraft, kind: _KindDraft, target: _Located
    ) -> None:
        service, _, name = target.value.partition("/")
        has_service = service in self._by_name and service != DEFAULTS_SECTION
        if self._partial and not has_service:
            return
        message = (
            f"service {service} has no kind {name}"
            if has_service
            else f"there is no service {service}"
        )
        self._report(section, target, f"kinds.{kind.name.value}.calls", message)

    def _report(
        self, section: _SectionDraft, place: _Located, key: str, message: str
    ) -> None:
        self.findings.append(
            Finding(
                section.source,
                section.name.value,
                place.line,
                place.column,
                key,
                message,
            )
        )

    def _build(self, services: list[_SectionDraft]) -> Document:
        defaults = self._by_name.get(DEFAULTS_SECTION)
        values = defaults.values if defaults else {}
        owner = values["owner"].value if "owner" in values else None
        return Document(
            [
                ServiceSection(
                    section.name.value,
                    section.values["owner"].value,
                    [
                        _build_kind(section.name.value, kind, values)
                        for kind in section.kinds
                    ],
                )
                for section in services
            ],
            owner,
        )


def _place(finding: Finding) -> tuple[str, int, int]:
    return finding.source, finding.line, finding.column


def _targets(kind: _KindDraft) -> list[_Located]:
    calls = kind.values.get("calls")
    return calls.value if calls else []


def _build_kind(
    service: str, draft: _KindDraft, defaults: Mapping[str, _Located]
) -> RequestKind:
    values = {key: spec.default for key, spec in KIND_KEYS.items()}
    for key, located in (*defaults.items(), *draft.values.items()):
        values[key] = located.value
    return RequestKind(
        service,
        draft.name.value,
        values["method"],
        values["path"],
        priority_class=PriorityClass[values["class"].upper()],
        at_most_once=values["at_most_once"],
        idempotent=values["idempotent"],
        deadline_ms=values["deadline_ms"],
        retry_budget=values["retry_budget"],
        weight=values["weight"],
        calls=[target.value for target in values["calls"]],
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
