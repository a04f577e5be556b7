"""The four TCP listeners of a node."""

from collections.abc import Callable
from typing import Any

from radishtray_node._metrics import Metrics
from radishtray_node._settings import Settings
from radishtray_transport import (
    ConnectionEvents,
    HttpLimits,
    HttpRequest,
    HttpServer,
    NodeIdentity,
    NodeListener,
)

_LOOPBACK = "127.0.0.1"
_MAX_OPERATOR_CONNECTIONS = 64

RequestHandler = Callable[[HttpRequest], None]


class Listeners:
    """Opens and closes the HTTP listeners and the node listener together."""

    __slots__ = (
        "_caller_server",
        "_node_listener",
        "_operator_server",
        "_settings",
        "_upstream_server",
    )

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        identity: NodeIdentity,
        metrics: Metrics,
        *,
        caller_handler: RequestHandler,
        upstream_handler: RequestHandler,
        operator_handler: RequestHandler,
        node_events: ConnectionEvents,
    ) -> None:
        """Builds the listeners without opening them.

        Args:
            reactor: The Twisted reactor.
            settings: Addresses, ports and limits.
            identity: This node, for the handshake with others.
            metrics: Counts rejected input by listener and reason.
            caller_handler: Handles requests of external callers.
            upstream_handler: Handles requests of the node's own upstream.
            operator_handler: Handles requests of operators.
            node_events: Receives the events of connections from other nodes.
        """
        limits = HttpLimits(
            head_bytes=settings.max_head_bytes,
            body_bytes=settings.max_body_bytes,
            connections=settings.max_connections,
            idle_s=settings.idle_time,
            request_s=settings.request_time,
        )

        def build_server(
            name: str, handler: RequestHandler, limits: HttpLimits
        ) -> HttpServer:
            return HttpServer(
                reactor,
                handler,
                limits,
                lambda reason: metrics.rejected_input.labels(
                    name, reason
                ).inc(),
            )

        self._settings = settings
        self._caller_server = build_server("caller", caller_handler, limits)
        self._upstream_server = build_server(
            "upstream", upstream_handler, limits
        )
        self._operator_server = build_server(
            "operator",
            operator_handler,
            HttpLimits(connections=_MAX_OPERATOR_CONNECTIONS),
        )
        self._node_listener = NodeListener(
            reactor, identity, settings.cluster_keys, node_events
        )

    @property
    def node_port(self) -> int:
        """TCP port for other nodes, once the listeners are open."""
        return self._node_listener.port

    @property
    def answering_connections(self) -> int:
        """Number of open connections of callers, upstream and other nodes."""
        return (
            self._caller_server.connection_count
            + self._upstream_server.connection_count
            + self._node_listener.connection_count
        )

    def start(self) -> None:
        """Opens all listeners.

        Raises:
            CannotListenError: If a port is taken.
        """
        settings = self._settings
        self._caller_server.start(settings.caller_host, settings.caller_port)
        self._upstream_server.start(_LOOPBACK, settings.upstream_port)
        self._node_listener.start(settings.address, settings.node_port)
        self._operator_server.start(
            settings.operator_host, settings.operator_port
        )

    def ports(self) -> dict[str, int]:
        """Returns the TCP port of each listener by its name."""
        return {
            "caller": self._caller_server.port,
            "upstream": self._upstream_server.port,
            "node": self._node_listener.port,
            "operator": self._operator_server.port,
        }

    def close(self) -> None:
        """Stops accepting; connections close after their pending answers."""
        self._caller_server.close()
        self._upstream_server.close()
        self._operator_server.close()
        self._node_listener.close()
