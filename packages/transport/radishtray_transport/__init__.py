"""Twisted sockets for HTTP, node connections, gossip and the platform."""

from radishtray_transport._http_client import (
    HeaderList,
    HttpAnswer,
    HttpClient,
    PendingRequest,
    RequestFailure,
)
from radishtray_transport._http_server import (
    HttpLimits,
    HttpRequest,
    HttpServer,
)
from radishtray_transport._node_connection import (
    ConnectionEvents,
    NodeConnection,
    NodeIdentity,
    NodeListener,
    Signer,
    open_node_connection,
)

__all__ = [
    "ConnectionEvents",
    "HeaderList",
    "HttpAnswer",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpServer",
    "NodeConnection",
    "NodeIdentity",
    "NodeListener",
    "PendingRequest",
    "RequestFailure",
    "Signer",
    "open_node_connection",
]
