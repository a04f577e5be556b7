"""What a command prints: text for people, one JSON object for scripts."""

import json
from collections.abc import Iterable
from typing import Any, TextIO

from radishtray_ctl._errors import CommandError


class Report:
    """The result of a command."""

    __slots__ = ("lines", "values")

    def __init__(
        self, lines: Iterable[str], values: dict[str, Any] | None = None
    ) -> None:
        """Holds both forms.

        Args:
            lines: Lines for people.
            values: JSON values for scripts.
        """
        self.lines = list(lines)
        self.values = values or {}


def print_report(report: Report, as_json: bool, output: TextIO) -> None:
    """Prints a result."""
    if as_json:
        print(json.dumps({"ok": True, **report.values}), file=output)
        return
    for line in report.lines:
        print(line, file=output)


def print_error(
    error: CommandError, as_json: bool, output: TextIO, errors: TextIO
) -> None:
    """Prints an error; findings go to the output, one in each line."""
    if as_json:
        shown = {
            "ok": False,
            "error": error.error,
            "message": str(error),
            "findings": [finding.to_json() for finding in error.findings],
            **error.details,
        }
        print(json.dumps(shown), file=output)
        return
    for finding in error.findings:
        print(finding, file=output)
    print(f"radishtrayctl: {error}", file=errors)
