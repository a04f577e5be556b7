"""The operators' listener: status, drain and metrics."""

import hmac
import json
from collections.abc import Callable
from typing import Any

from radishtray_node._metrics import Metrics
from radishtray_transport import HttpRequest

_JSON = ["Content-Type", "application/json"]
_TEXT = ["Content-Type", "text/plain; version=0.0.4; charset=utf-8"]

Route = Callable[["OperatorApi", HttpRequest], None]
_ROUTES: dict[tuple[bytes, bytes], Route] = {}


def _route(method: bytes, path: bytes) -> Callable[[Route], Route]:
    def register(handler: Route) -> Route:
        _ROUTES[method, path] = handler
        return handler

    return register


class OperatorApi:
    """Handler of the operators' listener; every path needs the token."""

    __slots__ = ("_drain", "_metrics", "_status", "_token")

    def __init__(
        self,
        token: str,
        status: Callable[[], dict[str, Any]],
        drain: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Joins what the handler needs.

        Args:
            token: Bearer token that operators send.
            status: Returns the node's status as JSON values.
            drain: Starts the graceful shutdown; safe to repeat.
            metrics: Counters of this node.
        """
        self._token = f"Bearer {token}".encode()
        self._status = status
        self._drain = drain
        self._metrics = metrics

    def handle(self, http: HttpRequest) -> None:
        """Handles one request of an operator."""
        given = http.header(b"Authorization") or b""
        if not hmac.compare_digest(given, self._token):
            self._metrics.rejected.labels("operator", "unauthorized").inc()
            http.respond(401, ["WWW-Authenticate", "Bearer"], b"")
            return
        route = _ROUTES.get((http.method, http.uri))
        if route is None:
            http.respond(404, [], b"no such path\n")
        else:
            route(self, http)

    @_route(b"GET", b"/status")
    def _get_status(self, http: HttpRequest) -> None:
        http.respond(200, _JSON, json.dumps(self._status()).encode())

    @_route(b"POST", b"/drain")
    def _post_drain(self, http: HttpRequest) -> None:
        self._drain()
        http.respond(202, _JSON, b'{"draining": true}')

    @_route(b"GET", b"/metrics")
    def _get_metrics(self, http: HttpRequest) -> None:
        http.respond(200, _TEXT, self._metrics.exposition())
