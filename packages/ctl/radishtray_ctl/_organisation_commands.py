"""The command `organisations`."""

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final

from prometheus_client.samples import Sample

from radishtray_ctl._arguments import register_command
from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_ctl._organisation_usage import (
    OrganisationUsage,
    read_snapshot,
    sum_usage,
)
from radishtray_ctl._report import Report

_HEADER: Final = (
    "organisation",
    "limit/s",
    "answered",
    "rejected",
    "granted",
    "denied",
    "oldest key",
    "newest key",
    "reasons",
)
_LEFT_ALIGNED: Final = frozenset(("organisation", "reasons"))
_S_PER_MIN: Final = 60
_S_PER_H: Final = 3600
_S_PER_DAY: Final = 86_400


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument(
        "files",
        nargs="+",
        metavar="FILE",
        help="metrics of one node as it serves them, or - for the standard"
        " input; one file for each node",
    )


@register_command(
    "organisations",
    "show limit, use, rejections and ages of keys of organisations",
    add_arguments=_add_arguments,
)
def organisations(options: Namespace) -> Report:
    """Sums what snapshots of the metrics of nodes state about organisations."""
    usages = sum_usage(_read_files(options.files))
    values = {"organisations": [usage.to_json() for usage in usages]}
    if not usages:
        return Report(["no organisations"], values)
    rows = [_HEADER, *(_format_row(usage) for usage in usages)]
    return Report(_align(rows), values)


def _read_files(paths: Sequence[str]) -> list[Sample]:
    """Returns the samples of all files.

    Raises:
        CommandError: If files cannot be read or are not metrics of a node; the
            message names all of them.
    """
    samples: list[Sample] = []
    messages: list[str] = []
    for path in dict.fromkeys(paths):
        try:
            file_samples = read_snapshot(_read_text(path))
            # Fails for a sample without the labels that the sums need.
            sum_usage(file_samples)
        except (OSError, ValueError) as error:
            # The parser raises some errors without a message.
            text = str(error) or "not in the text exposition format"
            messages.append(f"{path}: {text}")
        else:
            samples += file_samples
    if messages:
        raise CommandError(ExitCode.USAGE, "file", "; ".join(messages))
    return samples


def _read_text(path: str) -> str:
    return sys.stdin.read() if path == "-" else Path(path).read_text("utf-8")


def _format_row(usage: OrganisationUsage) -> tuple[str, ...]:
    limits = "|".join(f"{limit:.15g}" for limit in sorted(usage.limits_per_s))
    reasons = ", ".join(
        f"{reason} {count}" for reason, count in usage.rejected.most_common()
    )
    # A line break in a name would look like a further row.
    name = "".join(c if c.isprintable() else ascii(c)[1:-1] for c in usage.name)
    return (
        name,
        limits or "-",
        str(usage.answered),
        str(usage.rejected.total()),
        str(usage.granted),
        str(usage.denied),
        _format_age(usage.oldest_key_s),
        _format_age(usage.newest_key_s),
        reasons or "-",
    )


def _format_age(age_s: float | None) -> str:
    """Returns an age in its two largest units.

    >>> [_format_age(s) for s in (None, 9.7, 150.0, 7260.0, 97200.0)]
    ['-', '9s', '2m 30s', '2h 1m', '1d 3h']
    """
    if age_s is None:
        return "-"
    seconds = int(age_s)
    if seconds < _S_PER_MIN:
        return f"{seconds}s"
    if seconds < _S_PER_H:
        return f"{seconds // _S_PER_MIN}m {seconds % _S_PER_MIN}s"
    if seconds < _S_PER_DAY:
        return f"{seconds // _S_PER_H}h {seconds % _S_PER_H // _S_PER_MIN}m"
    return f"{seconds // _S_PER_DAY}d {seconds % _S_PER_DAY // _S_PER_H}h"


def _align(rows: Sequence[tuple[str, ...]]) -> Iterable[str]:
    """Returns the rows as lines; numbers are aligned to the right."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (
            cell.ljust(width) if name in _LEFT_ALIGNED else cell.rjust(width)
            for cell, width, name in zip(row, widths, _HEADER, strict=True)
        )
        yield "  ".join(cells).rstrip()
