"""Prints the result of a command, as text or as one JSON object."""

import json
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any, TextIO

from radishtray_ctl._errors import CommandError, ExitCode


class Report:
    """The result of a command."""

    __slots__ = ("exit_code", "lines", "values")

    def __init__(
        self,
        lines: Iterable[str],
        values: dict[str, Any] | None = None,
        exit_code: ExitCode = ExitCode.OK,
    ) -> None:
        """Creates a report.

        Args:
            lines: Lines of the text output.
            values: Keys and values of the JSON output.
            exit_code: Exit code of the program. A command that reads several
                nodes reports all of them, also if it then fails because of
                one.
        """
        self.lines = list(lines)
        self.values = values or {}
        self.exit_code = exit_code


def format_utc(wall_ms: int) -> str:
    """Formats a time in UTC; returns the number if it is out of range.

    >>> format_utc(1500)
    '1970-01-01T00:00:01.500Z'

    Args:
        wall_ms: Milliseconds since the Unix epoch.
    """
    try:
        time = datetime.fromtimestamp(wall_ms / 1000, UTC)
    except (OverflowError, ValueError, OSError):
        return str(wall_ms)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def print_report(report: Report, as_json: bool, output: TextIO) -> None:
    """Prints the report of a command.

    Args:
        report: The report.
        as_json: Whether to print one JSON object instead of text.
        output: Receives the report.
    """
    if as_json:
        is_ok = report.exit_code is ExitCode.OK
        print(json.dumps({"ok": is_ok, **report.values}), file=output)
        return
    for line in report.lines:
        print(line, file=output)


def print_error(
    error: CommandError, as_json: bool, output: TextIO, error_output: TextIO
) -> None:
    """Prints the error of a command.

    Args:
        error: The error.
        as_json: Whether to print one JSON object instead of text.
        output: Receives the JSON object, or the findings, one on each line.
        error_output: Receives the message of the text form.
    """
    if as_json:
        values = {
            "ok": False,
            "error": error.error_code,
            "message": str(error),
            "findings": [finding.to_json() for finding in error.findings],
            **error.details,
        }
        print(json.dumps(values), file=output)
        return
    for finding in error.findings:
        print(finding, file=output)
    print(f"radishtrayctl: {error}", file=error_output)
