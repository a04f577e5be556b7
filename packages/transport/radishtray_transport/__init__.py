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
from radishtray_transport.platform_client import (
    ABSENT_VERSION,
    Conflict,
    ListedObject,
    NotFound,
    OutcomeUnknown,
    PlatformClient,
    PlatformFault,
    PlatformObject,
    Rejected,
    Unreachable,
)

__all__ = [
    "ABSENT_VERSION",
    "Conflict",
    "ConnectionEvents",
    "HeaderList",
    "HttpAnswer",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpServer",
    "ListedObject",
    "NodeConnection",
    "NodeIdentity",
    "NodeListener",
    "NotFound",
    "OutcomeUnknown",
    "PendingRequest",
    "PlatformClient",
    "PlatformFault",
    "PlatformObject",
    "Rejected",
    "RequestFailure",
    "Signer",
    "Unreachable",
    "open_node_connection",
]
