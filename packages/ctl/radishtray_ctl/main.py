"""Entry point of radishtrayctl."""

import inspect
import os
import sys
from argparse import Namespace
from collections.abc import Mapping, Sequence
from typing import Any, TextIO

from twisted.internet.defer import Deferred
from twisted.internet.task import react

from radishtray_ctl import _config_commands, _operator_commands
from radishtray_ctl._arguments import build_parser, read_settings
from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_ctl._report import Report, print_error, print_report

_COMMAND_MODULES = (_config_commands, _operator_commands)
"""Importing these modules registers their commands."""


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Args:
        argv: Arguments; those of the process by default.
    """
    options = build_parser().parse_args(argv)
    codes: list[ExitCode] = []

    def run(reactor: Any) -> Deferred[None]:
        return Deferred.fromCoroutine(
            run_command(options, reactor, os.environ)
        ).addCallback(codes.append)

    try:
        react(run, [])
    except SystemExit:
        if not codes:
            # A signal or a fault of the program ended the command, so its
            # outcome is not known.
            return ExitCode.UNREACHABLE
    return codes[0]


async def run_command(
    options: Namespace,
    reactor: Any,
    environment: Mapping[str, str],
    output: TextIO | None = None,
    errors: TextIO | None = None,
) -> ExitCode:
    """Runs the command of parsed options and prints its result.

    Args:
        options: Result of the parser.
        reactor: The Twisted reactor; unused by commands that only read files.
        environment: Environment variables.
        output: Receives results and findings.
        errors: Receives error messages.
    """
    output = output or sys.stdout
    errors = errors or sys.stderr
    entry = options.command
    report: Report
    try:
        read_settings(entry.settings, options, environment)
        if inspect.iscoroutinefunction(entry.run):
            report = await entry.run(options, reactor)
        else:
            report = entry.run(options)
    except CommandError as error:
        print_error(error, options.json, output, errors)
        return error.exit_code
    print_report(report, options.json, output)
    return report.exit_code


if __name__ == "__main__":
    sys.exit(main())
