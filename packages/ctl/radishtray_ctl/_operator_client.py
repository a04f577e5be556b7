"""Calls to the operators' API of a node."""

import json
from typing import Any

from twisted.internet.defer import Deferred

from radishtray_ctl._arguments import NodeAddress
from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_transport import HttpClient, HttpResponse, RequestFailure


class _NoAnswerError(Exception):
    """No whole answer of the node."""


class OperatorClient:
    """Calls the operators' API of nodes."""

    __slots__ = ("_reactor", "_timeout_s", "_token")

    def __init__(self, reactor: Any, token: str, timeout_s: float) -> None:
        """Takes what all calls have in common.

        Args:
            reactor: The Twisted reactor.
            token: Bearer token of the operators' API.
            timeout_s: Longest wait for an answer, in seconds.
        """
        self._reactor = reactor
        self._token = token
        self._timeout_s = timeout_s

    async def call(
        self, node: NodeAddress, method: str, path: str
    ) -> dict[str, Any]:
        """Makes one call and returns the JSON object of the answer.

        Raises:
            CommandError: If there is no answer, or it is not a JSON object.
        """
        try:
            answer = await self._request(node, method, path)
        except _NoAnswerError as error:
            raise _unreachable(node, f"gave no answer: {error}") from error
        if answer.status >= 500:
            raise _unreachable(node, f"answered {answer.status}")
        if answer.status >= 400:
            raise _refused(node, "rejected", f"answered {answer.status}")
        return _parse_object(node, answer.body)

    async def _request(
        self, node: NodeAddress, method: str, path: str
    ) -> HttpResponse:
        client = HttpClient(
            self._reactor, node.host, node.port, max_connections=1
        )
        done: Deferred[HttpResponse] = Deferred()

        def fail(failure: RequestFailure) -> None:
            done.errback(_NoAnswerError(failure.value))

        headers = ["Authorization", f"Bearer {self._token}"]
        pending = client.request(
            method, path, headers, b"", done.callback, fail
        )
        timer = self._reactor.callLater(self._timeout_s, pending.cancel)
        try:
            answer: HttpResponse = await done
            return answer
        finally:
            if timer.active():
                timer.cancel()
            client.close()


def _parse_object(node: NodeAddress, body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise _refused(node, "malformed", "gave no JSON object")
    return value


def _unreachable(node: NodeAddress, what: str) -> CommandError:
    return CommandError(
        ExitCode.UNREACHABLE, "unreachable", f"node {node} {what}"
    )


def _refused(node: NodeAddress, error: str, what: str) -> CommandError:
    return CommandError(ExitCode.REFUSED, error, f"node {node} {what}")
