"""Request handlers of the operators' listener: status, drain and metrics."""

import hmac
import json
from collections.abc import Callable
from typing import Any

from radishtray_node._metrics import Metrics
from radishtray_transport import HttpRequest

_JSON = ["Content-Type", "application/json"]
_TEXT = ["Content-Type", "text/plain; version=0.0.4; charset=utf-8"]

OperatorHandler = Callable[["OperatorApi", HttpRequest], None]
_HANDLERS: dict[tuple[bytes, bytes], OperatorHandler] = {}


def _handles(
    method: bytes, path: bytes
) -> Callable[[OperatorHandler], OperatorHandler]:
    """Registers the decorated method for an HTTP method and path."""

    def register(handler: OperatorHandler) -> OperatorHandler:
        _HANDLERS[method, path] = handler
        return handler

    return register


class OperatorApi:
    """Handles requests of operators; every path needs the bearer token."""

    __slots__ = (
        "_expected_authorization",
        "_get_status_values",
        "_metrics",
        "_start_drain",
    )

    def __init__(
        self,
        token: str,
        get_status_values: Callable[[], dict[str, Any]],
        start_drain: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Takes the token and the functions that the paths call.

        Args:
            token: Bearer token that operators must send.
            get_status_values: Returns the node's status as JSON values.
            start_drain: Starts the graceful shutdown; safe to call again.
            metrics: Metrics of this node.
        """
        self._expected_authorization = f"Bearer {token}".encode()
        self._get_status_values = get_status_values
        self._start_drain = start_drain
        self._metrics = metrics

    def handle(self, http: HttpRequest) -> None:
        """Answers one request; 401 without the token, 404 for other paths."""
        authorization = http.header(b"Authorization") or b""
        if not hmac.compare_digest(authorization, self._expected_authorization):
            self._metrics.rejected_input.labels(
                "operator", "unauthorized"
            ).inc()
            http.respond(401, ["WWW-Authenticate", "Bearer"], b"")
            return
        handler = _HANDLERS.get((http.method, http.uri))
        if handler is None:
            http.respond(404, [], b"no such path\n")
        else:
            handler(self, http)

    @_handles(b"GET", b"/status")
    def _get_status(self, http: HttpRequest) -> None:
        http.respond(200, _JSON, json.dumps(self._get_status_values()).encode())

    @_handles(b"POST", b"/drain")
    def _post_drain(self, http: HttpRequest) -> None:
        self._start_drain()
        http.respond(202, _JSON, b'{"draining": true}')

    @_handles(b"GET", b"/metrics")
    def _get_metrics(self, http: HttpRequest) -> None:
        http.respond(200, _TEXT, self._metrics.exposition())
