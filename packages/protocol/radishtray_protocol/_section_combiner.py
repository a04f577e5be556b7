"""Drafts of sections to one checked document."""

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
    """Checks what spans sections and builds the document."""

    __slots__ = ("_partial", "_sections_by_name", "findings")

    def __init__(self, partial: bool) -> None:
        self._partial = partial
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
        if not services and not self._partial and not self.findings:
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
                    self._add_finding(
                        section,
                        path,
                        f"kinds.{kind.name.value}.path",
                        f"is ambiguous with {other.text} of {other_name}",
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
        for caller, (section, kind) in kinds.items():
            graph[caller] = []
            for target in _call_targets(kind):
                if target.value in kinds:
                    graph[caller].append(target.value)
                else:
                    self._report_unknown_call(section, kind, target)
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

    def _report_unknown_call(
        self, section: ParsedSection, kind: ParsedKind, target: LocatedValue
    ) -> None:
        service, _, name = target.value.partition("/")
        has_service = (
            service in self._sections_by_name and service != DEFAULTS_SECTION
        )
        if self._partial and not has_service:
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
        place: LocatedValue,
        key: str,
        message: str,
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
    service: str, draft: ParsedKind, defaults: Mapping[str, LocatedValue]
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
