"""Answers of an upstream, and a client with a server that the test scripts.

Also measures the memory that a connection holds.
"""

import sys
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from radishtray_testing.memory_network import MemoryNetwork
from radishtray_transport import (
    HttpClient,
    HttpResponse,
    PendingRequest,
    RequestFailure,
    ResponseFault,
    ResponseRules,
)
from radishtray_transport._body_buffer import BodyBuffer

RULES = ResponseRules(
    allows_close_delimited=True, request_id_header="X-Id", idle_limit_s=5.0
)


def build_response(
    request_id: str | None,
    body: bytes,
    extra_headers: bytes = b"",
    status: bytes = b"200 OK",
    framing: str = "length",
) -> bytes:
    """Returns the bytes of a response.

    Args:
        request_id: Id that the response states; None for no id.
        body: The complete body.
        extra_headers: Complete header lines.
        status: Status code and reason phrase.
        framing: `length`, `chunks` or `none`.
    """
    head = b"HTTP/1.1 %s\r\n" % status
    if request_id is not None:
        head += b"X-Id: %s\r\n" % request_id.encode()
    head += extra_headers
    if framing == "none":
        return head + b"\r\n" + body
    if framing == "chunks":
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def held_bytes(value: Any, seen: set[int] | None = None) -> int:
    """Returns the size of a value with the texts and containers in it."""
    seen = set() if seen is None else seen
    if id(value) in seen:
        return 0
    seen.add(id(value))
    size = sys.getsizeof(value)
    if isinstance(value, dict):
        value = list(value.values())
    elif isinstance(value, BodyBuffer):
        value = [getattr(value, name) for name in BodyBuffer.__slots__]
    if isinstance(value, list | tuple):
        size += sum(held_bytes(item, seen) for item in value)
    return size


class StubServer(Protocol):
    """Calls the test for each request."""

    def connectionMade(self) -> None:
        self.factory.opened_connections += 1

    def dataReceived(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self.factory.on_request(self.transport)


class ClientServerPair:
    """A client and a server whose responses are written by the test.

    Attributes:
        results: Body or failure of each settled request.
        responses: Complete response, or failure, of each settled request.
        faults: Faults that the client has reported.
    """

    def __init__(self, max_connections: int = 4, **options: Any) -> None:
        """Starts the server and creates the client.

        Args:
            max_connections: Maximum number of connections of the client.
            **options: Further arguments of the client.
        """
        self.network = MemoryNetwork()
        self.factory = Factory.forProtocol(StubServer)
        self.factory.opened_connections = 0
        self.factory.on_request = lambda transport: None
        self.port = self.network.listenTCP(0, self.factory).getHost().port
        self.faults: list[ResponseFault] = []
        self.client = HttpClient(
            self.network,
            "127.0.0.1",
            self.port,
            max_connections,
            rules=RULES,
            on_fault=self.faults.append,
            **options,
        )
        self.results: list[bytes | RequestFailure] = []
        self.responses: list[HttpResponse | RequestFailure] = []

    def send(
        self,
        request_id: str,
        handle_request: Callable[[Any], None],
        seconds: float = 0.5,
        body: bytes = b"",
    ) -> PendingRequest:
        """Sends a request and runs the network."""
        self.factory.on_request = handle_request
        pending = self.client.request(
            "GET",
            "/",
            [],
            body,
            self._add_response,
            self._add_failure,
            expected_request_id=request_id,
        )
        self.network.run(seconds)
        return pending

    def _add_response(self, response: HttpResponse) -> None:
        self.results.append(response.body)
        self.responses.append(response)

    def _add_failure(self, failure: RequestFailure) -> None:
        self.results.append(failure)
        self.responses.append(failure)
