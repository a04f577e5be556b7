"""Exit codes, and the error that ends a command."""

from collections.abc import Sequence
from enum import IntEnum
from typing import Any

from radishtray_protocol import Finding


class ExitCode(IntEnum):
    """Exit codes of radishtrayctl."""

    OK = 0
    REFUSED = 1
    """The document has findings, the change or call was refused, or a node
    has unknown outcomes."""

    USAGE = 2
    """The command line, a setting or a file is faulty."""

    UNREACHABLE = 3
    """No answer, or a write of unknown outcome."""


class CommandError(Exception):
    """Ends a command with a message and an exit code.

    Attributes:
        exit_code: Exit code of the program.
        error: Short name of the error for scripts.
        findings: Findings to print, if any.
        details: Further JSON values for scripts.
    """

    def __init__(
        self,
        exit_code: ExitCode,
        error: str,
        message: str,
        *,
        findings: Sequence[Finding] = (),
        details: dict[str, Any] | None = None,
    ) -> None:
        """Describes the error.

        Args:
            exit_code: Exit code of the program.
            error: Short name of the error for scripts.
            message: What happened and what to do.
            findings: Findings to print, if any.
            details: Further JSON values for scripts.
        """
        super().__init__(message)
        self.exit_code = exit_code
        self.error = error
        self.findings = tuple(findings)
        self.details = details or {}


def findings_error(findings: Sequence[Finding]) -> CommandError:
    """Returns the error for a document with findings."""
    noun = "finding" if len(findings) == 1 else "findings"
    return CommandError(
        ExitCode.REFUSED,
        "findings",
        f"{len(findings)} {noun}",
        findings=findings,
    )
