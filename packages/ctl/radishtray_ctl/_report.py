"""What a command prints: text for people, one JSON object for scripts."""

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
        """Holds both forms.

        Args:
            lines: Lines for people.
            values: JSON values for scripts.
            exit_code: Exit code of the program; a command that looks at
                several nodes reports all of them and then fails.
        """
        self.lines = list(lines)
        self.values = values or {}
        self.exit_code = exit_code


def utc_text(wall_ms: int) -> str:
    """Returns a time in UTC, or the number if it is no time.

    >>> utc_text(1500)
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
    """Prints a result."""
    if as_json:
        is_ok = report.exit_code is ExitCode.OK
        print(json.dumps({"ok": is_ok, **report.values}), file=output)
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
