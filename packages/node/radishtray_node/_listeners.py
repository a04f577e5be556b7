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
_OPERATOR_CONNECTIONS = 64

Handler = Callable[[HttpRequest], None]


class Listeners:
    """Opens and closes the listeners together."""

    __slots__ = ("_caller", "_node", "_operator", "_settings", "_upstream")

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        identity: NodeIdentity,
        metrics: Metrics,
        *,
        caller: Handler,
        upstream: Handler,
        operator: Handler,
        node: ConnectionEvents,
    ) -> None:
        """Prepares listeners that are not open.

        Args:
            reactor: The Twisted reactor.
            settings: Addresses, ports and bounds.
            identity: This node, for the handshake with others.
            metrics: Counts rejected input.
            caller: Handles requests of outside callers.
            upstream: Handles requests of the node's own upstream.
            operator: Handles requests of operators.
            node: Handles connections of other nodes.
        """
        limits = HttpLimits(
            head_bytes=settings.max_head_bytes,
            body_bytes=settings.max_body_bytes,
            connections=settings.max_connections,
            idle_s=settings.idle_time,
            request_s=settings.request_time,
        )

        def http(name: str, handler: Handler, limits: HttpLimits) -> HttpServer:
            return HttpServer(
                reactor,
                handler,
                limits,
                lambda reason: metrics.rejected.labels(name, reason).inc(),
            )

        self._settings = settings
        self._caller = http("caller", caller, limits)
        self._upstream = http("upstream", upstream, limits)
        self._operator = http(
            "operator", operator, HttpLimits(connections=_OPERATOR_CONNECTIONS)
        )
        self._node = NodeListener(
            reactor, identity, settings.cluster_keys, node
        )

    @property
    def node_port(self) -> int:
        """Port for other nodes, once started."""
        return self._node.port

    def start(self) -> None:
        """Opens all listeners.

        Raises:
            CannotListenError: If a port is taken.
        """
        settings = self._settings
        self._caller.start(settings.caller_host, settings.caller_port)
        self._upstream.start(_LOOPBACK, settings.upstream_port)
        self._node.start(settings.address, settings.node_port)
        self._operator.start(settings.operator_host, settings.operator_port)

    def ports(self) -> dict[str, int]:
        """Returns the ports by name."""
        return {
            "caller": self._caller.port,
            "upstream": self._upstream.port,
            "node": self._node.port,
            "operator": self._operator.port,
        }

    def close(self) -> None:
        """Stops accepting; each connection closes after its last answer."""
        self._caller.close()
        self._upstream.close()
        self._operator.close()
        self._node.close()
