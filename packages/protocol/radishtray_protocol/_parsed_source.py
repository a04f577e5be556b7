"""Parsed sections, with the position in the source text of each value."""

from typing import Any

import yaml

from radishtray_protocol._findings import Finding


class LocatedValue:
    """A value and its position, with line and column counted from 1."""

    __slots__ = ("column", "line", "value")

    def __init__(self, node: yaml.Node, value: Any) -> None:
        self.line: int = node.start_mark.line + 1
        self.column: int = node.start_mark.column + 1
        self.value = value


class ParsedKind:
    """A request kind as written, without its invalid keys."""

    __slots__ = ("name", "values")

    def __init__(self, name: LocatedValue) -> None:
        self.name = name
        self.values: dict[str, LocatedValue] = {}


class ParsedSection:
    """A section as written, without its invalid keys."""

    __slots__ = ("kinds", "name", "source", "values")

    def __init__(self, source: str, name: LocatedValue) -> None:
        self.source = source
        self.name = name
        self.values: dict[str, LocatedValue] = {}
        self.kinds: list[ParsedKind] = []


class ParsedSource:
    """The sections and findings of one text, not yet combined with others.

    A node keeps the parsed sources of unchanged sections, so that a change of
    one section does not cause the others to be parsed again.
    """

    __slots__ = ("findings", "sections")

    def __init__(
        self,
        sections: tuple[ParsedSection, ...],
        findings: tuple[Finding, ...],
    ) -> None:
        """Creates the result of `parse_source`."""
        self.sections = sections
        self.findings = findings
