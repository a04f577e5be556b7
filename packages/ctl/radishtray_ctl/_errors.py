"""Exit codes, and the exception that ends a command with one of them."""

from collections.abc import Sequence
from enum import IntEnum
from typing import Any

from radishtray_protocol import Finding


class ExitCode(IntEnum):
    """Exit codes of radishtrayctl."""

    OK = 0
    REFUSED = 1
    """The document has findings, the platform or a node refused the request,
    or a node reports unknown outcomes."""

    USAGE = 2
    """The command line, a setting or a file is invalid."""

    UNREACHABLE = 3
    """The platform or a node did not answer, or the outcome of a write is
    unknown."""


class CommandError(Exception):
    """Ends a command with a message and an exit code.

    Attributes:
        exit_code: Exit code of the program.
        error_code: Machine-readable error name, such as `conflict`; printed
            under the key `error` of the JSON output.
        findings: Findings to print, if any.
        details: Further keys and values of the JSON output.
    """

    def __init__(
        self,
        exit_code: ExitCode,
        error_code: str,
        message: str,
        *,
        findings: Sequence[Finding] = (),
        details: dict[str, Any] | None = None,
    ) -> None:
        """Creates the error.

        Args:
            exit_code: Exit code of the program.
            error_code: Machine-readable error name, such as `conflict`.
            message: What happened and what the operator can do about it.
            findings: Findings to print, if any.
            details: Further keys and values of the JSON output.
        """
        super().__init__(message)
        self.exit_code = exit_code
        self.error_code = error_code
        self.findings = tuple(findings)
        self.details = details or {}


def findings_error(findings: Sequence[Finding]) -> CommandError:
    """Returns the error that reports the findings of a document."""
    noun = "finding" if len(findings) == 1 else "findings"
    return CommandError(
        ExitCode.REFUSED,
        "findings",
        f"{len(findings)} {noun}",
        findings=findings,
    )
