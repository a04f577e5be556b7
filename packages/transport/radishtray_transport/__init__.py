"""Twisted sockets for HTTP, node connections, gossip and the platform."""

from radishtray_transport._gossip_codec import (
    MAX_DATAGRAM_BYTES,
    DatagramFault,
    decode_datagram,
    decode_payload,
    encode_datagram,
)
from radishtray_transport._gossip_socket import GossipCounters, GossipSocket
from radishtray_transport._http_client import HttpClient
from radishtray_transport._http_exchange import (
    AnswerCallback,
    AnswerRules,
    FailureCallback,
    HeaderList,
    HttpAnswer,
    PendingRequest,
    RequestFailure,
)
from radishtray_transport._http_request import HttpLimits, HttpRequest
from radishtray_transport._http_server import HttpServer
from radishtray_transport._node_connection import (
    ConnectionEvents,
    NodeConnection,
    NodeIdentity,
    NodeListener,
    Signer,
    open_node_connection,
)
from radishtray_transport._platform_client import (
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
    parse_base_url,
)

__all__ = [
    "ABSENT_VERSION",
    "MAX_DATAGRAM_BYTES",
    "AnswerCallback",
    "AnswerRules",
    "Conflict",
    "ConnectionEvents",
    "DatagramFault",
    "FailureCallback",
    "GossipCounters",
    "GossipSocket",
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
    "decode_datagram",
    "decode_payload",
    "encode_datagram",
    "open_node_connection",
    "parse_base_url",
]
