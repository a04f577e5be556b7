"""Commands that talk to the operators' API of one node."""

import json
from argparse import Namespace
from typing import Any

from twisted.internet.defer import Deferred

from radishtray_ctl._arguments import NODE_SETTINGS, command
from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_ctl._report import Report
from radishtray_transport import HttpAnswer, HttpClient, RequestFailure


class _OperatorError(Exception):
    """No whole answer of the node."""


async def _call(
    options: Namespace, reactor: Any, method: str, path: str
) -> dict[str, Any]:
    """Makes one call and returns the JSON object of the answer."""
    host, port = options.node
    client = HttpClient(reactor, host, port, max_connections=1)
    done: Deferred[HttpAnswer] = Deferred()

    def fail(failure: RequestFailure) -> None:
        done.errback(_OperatorError(failure.value))

    headers = ["Authorization", f"Bearer {options.operator_token}"]
    pending = client.request(method, path, headers, b"", done.callback, fail)
    timer = reactor.callLater(options.timeout_s, pending.cancel)
    try:
        answer = await done
    except _OperatorError as error:
        raise CommandError(
            ExitCode.UNREACHABLE,
            "unreachable",
            f"node {host}:{port} gave no answer: {error}",
        ) from error
    finally:
        if timer.active():
            timer.cancel()
        client.close()
    return _read_answer(answer, f"node {host}:{port}")


def _read_answer(answer: HttpAnswer, node: str) -> dict[str, Any]:
    if answer.status >= 500:
        raise CommandError(
            ExitCode.UNREACHABLE,
            "unreachable",
            f"{node} answered {answer.status}",
        )
    if answer.status >= 400:
        raise CommandError(
            ExitCode.REFUSED, "rejected", f"{node} answered {answer.status}"
        )
    try:
        shown = json.loads(answer.body)
    except ValueError:
        shown = None
    if not isinstance(shown, dict):
        raise CommandError(
            ExitCode.REFUSED, "malformed", f"{node} gave no JSON object"
        )
    return shown


@command(
    "status",
    "print a node's generation, members and unknown outcomes",
    *NODE_SETTINGS,
)
async def status(options: Namespace, reactor: Any) -> Report:
    """Prints the status of one node."""
    shown = await _call(options, reactor, "GET", "/status")
    return Report(_status_lines(shown), shown)


def _status_lines(shown: dict[str, Any]) -> list[str]:
    """Lists scalars first, then one line for each entry of a list."""
    lines: list[str] = []
    lists: list[str] = []
    for key, value in shown.items():
        if isinstance(value, list):
            lists.append(f"{key}: {len(value)}")
            lists.extend(f"  {_entry_text(entry)}" for entry in value)
        else:
            lines.append(f"{key}: {_entry_text(value)}")
    return lines + lists


def _entry_text(entry: Any) -> str:
    if isinstance(entry, dict):
        return "  ".join(f"{key}={value}" for key, value in entry.items())
    return entry if isinstance(entry, str) else json.dumps(entry)


@command(
    "drain",
    "start a node's graceful shutdown; safe to repeat",
    *NODE_SETTINGS,
)
async def drain(options: Namespace, reactor: Any) -> Report:
    """Tells one node to drain."""
    shown = await _call(options, reactor, "POST", "/drain")
    host, port = options.node
    return Report([f"node {host}:{port} is draining"], shown)
