"""Network transport on Twisted: HTTP, node connections, gossip, platform."""

from radishtray_transport._frame_compression import (
    MAX_DECOMPRESSED_BYTES,
    CompressionTotals,
    FrameCompressor,
    FrameDecompressor,
)
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
    FailureCallback,
    HeaderList,
    HttpResponse,
    PendingRequest,
    RequestFailure,
    ResponseCallback,
    ResponseFault,
    ResponseRules,
    find_header,
)
from radishtray_transport._http_request import HttpLimits, HttpRequest
from radishtray_transport._http_server import HttpServer
from radishtray_transport._memory_account import (
    SMALL_BODY_BYTES,
    MemoryAccount,
    MemoryPriority,
    MemoryPurpose,
)
from radishtray_transport._node_connection import (
    UNTRACKED_EPOCH,
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
    "MAX_DECOMPRESSED_BYTES",
    "SMALL_BODY_BYTES",
    "UNTRACKED_EPOCH",
    "CompressionTotals",
    "Conflict",
    "ConnectionEvents",
    "DatagramFault",
    "FailureCallback",
    "FrameCompressor",
    "FrameDecompressor",
    "GossipCounters",
    "GossipSocket",
    "HeaderList",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "ListedObject",
    "MemoryAccount",
    "MemoryPriority",
    "MemoryPurpose",
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
    "ResponseCallback",
    "ResponseFault",
    "ResponseRules",
    "Signer",
    "Unreachable",
    "decode_datagram",
    "decode_payload",
    "encode_datagram",
    "find_header",
    "open_node_connection",
    "parse_base_url",
]
