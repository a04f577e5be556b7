"""Reads and checks the YAML files that make up a configuration document."""

import sys
from collections.abc import Sequence
from pathlib import Path

from radishtray_ctl._errors import CommandError, ExitCode, findings_error
from radishtray_protocol import parse_document

_YAML_SUFFIXES = (".yaml", ".yml")


def read_files(arguments: Sequence[str]) -> dict[str, str]:
    """Reads files, and the YAML files below directories.

    Args:
        arguments: Paths of files or directories, or `-` for the standard
            input.

    Returns:
        Text by file path.

    Raises:
        CommandError: If a file cannot be read or a directory contains no
            YAML file; the message lists all such paths.
    """
    texts: dict[str, str] = {}
    messages: list[str] = []
    for argument in arguments:
        try:
            _read_path(argument, texts)
        except (OSError, UnicodeError) as error:
            messages.append(f"{argument}: {error}")
    if messages:
        raise CommandError(ExitCode.USAGE, "file", "; ".join(messages))
    return texts


def _read_path(argument: str, texts: dict[str, str]) -> None:
    if argument == "-":
        texts["-"] = sys.stdin.read()
        return
    path = Path(argument)
    if not path.is_dir():
        texts[argument] = path.read_text(encoding="utf-8")
        return
    files = sorted(p for p in path.rglob("*") if p.suffix in _YAML_SUFFIXES)
    if not files:
        raise OSError(
            f"the directory has no {' or '.join(_YAML_SUFFIXES)} file"
        )
    for file in files:
        texts[str(file)] = file.read_text(encoding="utf-8")


def check_files(texts: dict[str, str]) -> None:
    """Validates files that need not contain all sections of the document.

    Args:
        texts: Text by file path.

    Raises:
        CommandError: If there are findings; it contains all of them.
    """
    parsed = parse_document(texts, partial=True)
    if parsed.is_error():
        raise findings_error(parsed.error)
