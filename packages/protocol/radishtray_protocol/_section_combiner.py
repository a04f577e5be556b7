"""Combines parsed sections into one validated document."""

from collections.abc import Mapping

from expression import Error, Ok, Result

from radishtray_protocol._call_graph import find_cycles
from radishtray_protocol._document import (
    DEFAULTS_SECTION,
    Document,
    RequestKind,
    ServiceSection,
)
from radishtray_protocol._document_keys import (
    KIND_KEYS,
    PriorityClass,
)
from radishtray_protocol._findings import Finding
from radishtray_protocol._parsed_source import (
    LocatedValue,
    ParsedKind,
    ParsedSection,
)
from radishtray_protocol._path_template import PathTemplate


class SectionCombiner:
    """Validates parsed sections together and builds the document.

    It runs the checks that need several kinds or sections: duplicate sections,
    ambiguous paths, calls to unknown kinds, and cycles of calls.

    Attributes:
        findings: Errors found so far; the caller adds those of the parser.
    """

    __slots__ = ("_is_partial", "_sections_by_name", "findings")

    def __init__(self, partial: bool) -> None:
        self._is_partial = partial
        self._sections_by_name: dict[str, ParsedSection] = {}
        self.findings: list[Finding] = []

    def add_section(self, section: ParsedSection) -> None:
        name = section.name.value
        first = self._sections_by_name.setdefault(name, section)
        if first is not section:
            self._add_finding(
                section,
                section.name,
                "",
                "the section occurs twice, first at"
                f" {first.source}:{first.name.line}",
            )

    def build_document(self) -> Result[Document, list[Finding]]:
        services = [
            section
            for name, section in self._sections_by_name.items()
            if name != DEFAULTS_SECTION
        ]
        if not services and not self._is_partial and not self.findings:
            self.findings.append(
                Finding("", "", 1, 1, "services", "there is no service")
            )
        for section in services:
            self._check_paths(section)
        self._check_calls(services)
        if self.findings:
            return Error(sorted(self.findings, key=_position))
        return Ok(self._create_document(services))

    def _check_paths(self, section: ParsedSection) -> None:
        checked: dict[tuple[str, int], list[tuple[str, PathTemplate]]] = {}
        for kind in section.kinds:
            method, path = kind.values.get("method"), kind.values.get("path")
            if method is None or path is None:
                continue
            template = PathTemplate(path.value)
            key = (method.value, len(template.segments))
            others = checked.setdefault(key, [])
            for other_name, other in others:
                if other.is_literal == template.is_literal and other.overlaps(
                    template
                ):
                    self._add_finding(
                        section,
                        path,
                        f"kinds.{kind.name.value}.path",
                        f"is ambiguous with {other.text} of kind {other_name}",
                    )
                    break
            others.append((kind.name.value, template))

    def _check_calls(self, services: list[ParsedSection]) -> None:
        kinds = {
            f"{section.name.value}/{kind.name.value}": (section, kind)
            for section in services
            for kind in section.kinds
        }
        graph: dict[str, list[str]] = {}
        for calling_kind, (section, kind) in kinds.items():
            graph[calling_kind] = []
            for target in _call_targets(kind):
                if target.value in kinds:
                    graph[calling_kind].append(target.value)
                else:
                    self._add_unknown_call_finding(section, kind, target)
        for cycle in find_cycles(graph):
            section, kind = kinds[cycle[-2]]
            for target in _call_targets(kind):
                if target.value == cycle[-1]:
                    self._add_finding(
                        section,
                        target,
                        f"kinds.{kind.name.value}.calls",
                        f"calls form a cycle: {' -> '.join(cycle)}",
                    )

    def _add_unknown_call_finding(
        self, section: ParsedSection, kind: ParsedKind, target: LocatedValue
    ) -> None:
        service, _, name = target.value.partition("/")
        has_service = (
            service in self._sections_by_name and service != DEFAULTS_SECTION
        )
        # A partial document may call services that it does not contain.
        if self._is_partial and not has_service:
            return
        message = (
            f"service {service} has no kind {name}"
            if has_service
            else f"there is no service {service}"
        )
        self._add_finding(
            section, target, f"kinds.{kind.name.value}.calls", message
        )

    def _add_finding(
        self,
        section: ParsedSection,
        located: LocatedValue,
        key: str,
        message: str,
    ) -> None:
        self.findings.append(
            Finding(
                section.source,
                section.name.value,
                located.line,
                located.column,
                key,
                message,
            )
        )

    def _create_document(self, services: list[ParsedSection]) -> Document:
        defaults = self._sections_by_name.get(DEFAULTS_SECTION)
        values = defaults.values if defaults else {}
        owner = values["owner"].value if "owner" in values else None
        return Document(
            [
                ServiceSection(
                    section.name.value,
                    section.values["owner"].value,
                    [
                        _create_kind(section.name.value, kind, values)
                        for kind in section.kinds
                    ],
                )
                for section in services
            ],
            owner,
        )


def _position(finding: Finding) -> tuple[str, int, int]:
    return finding.source, finding.line, finding.column


def _call_targets(kind: ParsedKind) -> list[LocatedValue]:
    calls = kind.values.get("calls")
    return calls.value if calls else []


def _create_kind(
    service: str, kind: ParsedKind, defaults: Mapping[str, LocatedValue]
) -> RequestKind:
    values = {key: spec.default for key, spec in KIND_KEYS.items()}
    # A key of the kind takes precedence over the same key of the defaults.
    for key, located in (*defaults.items(), *kind.values.items()):
        values[key] = located.value
    return RequestKind(
        service,
        kind.name.value,
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
