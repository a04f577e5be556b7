"""Entry point of radishtrayctl."""

import inspect
import os
import sys
from argparse import Namespace
from collections.abc import Mapping, Sequence
from typing import Any, TextIO

from twisted.internet.defer import Deferred
from twisted.internet.task import react

from radishtray_ctl import (
    _config_commands,
    _operator_commands,
    _organisation_commands,
)
from radishtray_ctl._arguments import build_parser, resolve_settings
from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_ctl._report import Report, print_error, print_report

_COMMAND_MODULES = (
    _config_commands,
    _operator_commands,
    _organisation_commands,
)
"""Modules whose import registers their commands."""


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Args:
        argv: Command line arguments; those of the process if None.
    """
    options = build_parser().parse_args(argv)
    exit_codes: list[ExitCode] = []

    def run(reactor: Any) -> Deferred[None]:
        return Deferred.fromCoroutine(
            run_command(options, reactor, os.environ)
        ).addCallback(exit_codes.append)

    try:
        react(run, [])
    except SystemExit:
        if not exit_codes:
            # A signal or an unhandled exception ended the command before it
            # had an exit code, so the outcome of its writes is unknown.
            return ExitCode.UNREACHABLE
    return exit_codes[0]


async def run_command(
    options: Namespace,
    reactor: Any,
    environment: Mapping[str, str],
    output: TextIO | None = None,
    error_output: TextIO | None = None,
) -> ExitCode:
    """Runs the command of parsed options and prints its result.

    Args:
        options: Parsed command line.
        reactor: The Twisted reactor; unused by commands that only read files.
        environment: Environment variables.
        output: Receives reports and findings; standard output if None.
        error_output: Receives error messages; standard error if None.
    """
    output = output or sys.stdout
    error_output = error_output or sys.stderr
    command = options.command
    report: Report
    try:
        resolve_settings(command.settings, options, environment)
        if inspect.iscoroutinefunction(command.run):
            report = await command.run(options, reactor)
        else:
            report = command.run(options)
    except CommandError as error:
        print_error(error, options.json, output, error_output)
        return error.exit_code
    print_report(report, options.json, output)
    return report.exit_code


if __name__ == "__main__":
    sys.exit(main())
