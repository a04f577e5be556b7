"""HTTP client of the operators' API of nodes."""

import json
from typing import Any

from twisted.internet.defer import Deferred

from radishtray_ctl._arguments import NodeAddress
from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_transport import HttpClient, HttpResponse, RequestFailure


class _NoAnswerError(Exception):
    """The node sent no complete answer before the timeout."""


class OperatorClient:
    """Calls the operators' API of nodes."""

    __slots__ = ("_reactor", "_timeout_s", "_token")

    def __init__(self, reactor: Any, token: str, timeout_s: float) -> None:
        """Creates a client.

        Args:
            reactor: The Twisted reactor.
            token: Bearer token of the operators' API.
            timeout_s: Time limit of each call, in seconds.
        """
        self._reactor = reactor
        self._token = token
        self._timeout_s = timeout_s

    async def call(
        self, node: NodeAddress, method: str, path: str
    ) -> dict[str, Any]:
        """Makes one call and returns the JSON object of the answer.

        Args:
            node: Node to call.
            method: HTTP method.
            path: Path of the URL.

        Raises:
            CommandError: If there is no answer, its status is 400 or above, or
                its body is not a JSON object.
        """
        try:
            answer = await self._request(node, method, path)
        except _NoAnswerError as error:
            raise _unreachable_error(
                node, f"gave no answer: {error}"
            ) from error
        if answer.status >= 500:
            raise _unreachable_error(node, f"answered {answer.status}")
        if answer.status >= 400:
            raise _refused_error(node, "rejected", f"answered {answer.status}")
        return _parse_object(node, answer.body)

    async def _request(
        self, node: NodeAddress, method: str, path: str
    ) -> HttpResponse:
        """Sends a request on a connection of its own; cancels it on timeout."""
        client = HttpClient(
            self._reactor, node.host, node.port, max_connections=1
        )
        answered: Deferred[HttpResponse] = Deferred()

        def on_failure(failure: RequestFailure) -> None:
            answered.errback(_NoAnswerError(failure.value))

        headers = ["Authorization", f"Bearer {self._token}"]
        pending = client.request(
            method, path, headers, b"", answered.callback, on_failure
        )
        timer = self._reactor.callLater(self._timeout_s, pending.cancel)
        try:
            answer: HttpResponse = await answered
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
        raise _refused_error(node, "malformed", "gave no JSON object")
    return value


def _unreachable_error(node: NodeAddress, detail: str) -> CommandError:
    return CommandError(
        ExitCode.UNREACHABLE, "unreachable", f"node {node} {detail}"
    )


def _refused_error(
    node: NodeAddress, error_code: str, detail: str
) -> CommandError:
    return CommandError(ExitCode.REFUSED, error_code, f"node {node} {detail}")
