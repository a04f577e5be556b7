"""Reads the files of a document."""

import sys
from collections.abc import Sequence
from pathlib import Path

from radishtray_ctl._errors import CommandError, ExitCode, findings_error
from radishtray_protocol import parse_document

_SUFFIXES = (".yaml", ".yml")


def read_files(paths: Sequence[str]) -> dict[str, str]:
    """Reads files, and the YAML files below directories.

    Args:
        paths: Files, directories, or `-` for the standard input.

    Raises:
        CommandError: If a file is not readable or a directory has no file.
    """
    texts: dict[str, str] = {}
    faults: list[str] = []
    for path in paths:
        try:
            _read_path(path, texts)
        except (OSError, UnicodeError) as error:
            faults.append(f"{path}: {error}")
    if faults:
        raise CommandError(ExitCode.USAGE, "file", "; ".join(faults))
    return texts


def _read_path(path: str, texts: dict[str, str]) -> None:
    if path == "-":
        texts["-"] = sys.stdin.read()
        return
    place = Path(path)
    if not place.is_dir():
        texts[path] = place.read_text(encoding="utf-8")
        return
    files = sorted(p for p in place.rglob("*") if p.suffix in _SUFFIXES)
    if not files:
        raise OSError(f"the directory has no {' or '.join(_SUFFIXES)} file")
    for file in files:
        texts[str(file)] = file.read_text(encoding="utf-8")


def check_files(texts: dict[str, str]) -> None:
    """Checks files that may hold only some of the sections.

    Raises:
        CommandError: With all findings.
    """
    parsed = parse_document(texts, partial=True)
    if parsed.is_error():
        raise findings_error(parsed.error)
