"""A received HTTP request and the limits of an HTTP listener."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from radishtray_transport._http_exchange import HeaderList
from radishtray_transport._memory_account import SMALL_BODY_BYTES

if TYPE_CHECKING:
    from radishtray_transport._http_channel import HttpChannel

# Colon, space, CR and LF of a header line.
_HEADER_OVERHEAD_BYTES = 4
# Memory of a request and of each header besides their text, which is held as
# received and as forwarded.
_REQUEST_MEMORY_BYTES = 2000
_HEADER_MEMORY_BYTES = 300
_DROPPED_RESPONSE_HEADERS = frozenset(
    ("connection", "content-length", "transfer-encoding", "keep-alive")
)
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in HTTPStatus
}


class HttpLimits:
    """Limits of one HTTP listener.

    Attributes:
        head_bytes: Maximum size of the request target and headers.
        headers: Maximum number of headers in a request.
        body_bytes: Maximum size of a request body.
        connections: Maximum number of open connections.
        idle_s: Seconds after the last response, or after the connection was
            accepted, before a connection without a request is closed.
        request_s: Seconds in which a complete request must arrive.
        head_s: Seconds in which the head of a request must arrive.
    """

    __slots__ = (
        "body_bytes",
        "connections",
        "head_bytes",
        "head_s",
        "headers",
        "idle_s",
        "request_s",
    )

    def __init__(
        self,
        head_bytes: int = 16_384,
        headers: int = 100,
        body_bytes: int = 1024 * 1024,
        connections: int = 4096,
        idle_s: float = 60.0,
        request_s: float = 10.0,
        head_s: float = 10.0,
    ) -> None:
        """Validates the limits.

        Raises:
            ValueError: If a limit is not positive.
        """
        self.head_bytes = head_bytes
        self.headers = headers
        self.body_bytes = body_bytes
        self.connections = connections
        self.idle_s = idle_s
        self.request_s = request_s
        self.head_s = head_s
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be positive")


class HttpRequest:
    """A received request; `respond` sends its only response.

    Attributes:
        channel: The connection; None once it is closed or the response is sent.
        method: HTTP method.
        uri: Request target.
        headers: For each header its name in lower case, its name as received,
            and its value.
        body: The complete body.
        on_disconnect: Called if the client disconnects before the response.
        head_bytes: Size of the request target, headers and trailers received
            so far.
        trailer_count: Number of trailers, which are not part of `headers`.
        is_persistent: Whether the connection stays open after the response.
        is_over_memory: Whether there is no memory for the request.
        is_too_large: Whether the body exceeds the limit.
        received_s: Time of the reactor at which the request was complete.
        waited_s: Seconds for which it waited for requests before it.
    """

    __slots__ = (
        "_first_values",
        "_response",
        "body",
        "channel",
        "head_bytes",
        "headers",
        "is_over_memory",
        "is_persistent",
        "is_too_large",
        "method",
        "on_disconnect",
        "received_s",
        "trailer_count",
        "uri",
        "waited_s",
    )

    def __init__(self, channel: "HttpChannel") -> None:
        """Creates an empty request, which the channel fills."""
        self.channel: HttpChannel | None = channel
        self.method = b""
        self.uri = b""
        self.headers: list[tuple[bytes, bytes, bytes]] = []
        self.body = b""
        self.on_disconnect: Callable[[], None] | None = None
        self.head_bytes = 0
        self.trailer_count = 0
        self.is_persistent = True
        self.is_over_memory = False
        self.is_too_large = False
        self.received_s = 0.0
        self.waited_s = 0.0
        self._first_values: dict[bytes, bytes] = {}
        self._response: tuple[int, HeaderList, bytes] | None = None

    def add_header(self, name: bytes, value: bytes) -> None:
        """Appends a header."""
        lowered = name.lower()
        self.headers.append((lowered, name, value))
        self._first_values.setdefault(lowered, value)
        self.head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES

    def count_trailer(self, name: bytes, value: bytes) -> None:
        """Counts a trailer toward the size of the head."""
        self.trailer_count += 1
        self.head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; names are case-insensitive."""
        return self._first_values.get(name.lower())

    @property
    def head_memory_bytes(self) -> int:
        """Memory that the request takes besides its body."""
        return (
            _REQUEST_MEMORY_BYTES
            + 2 * self.head_bytes
            + _HEADER_MEMORY_BYTES * len(self.headers)
        )

    def body_length(self, max_bytes: int) -> int:
        """Returns the stated length of the body, or the largest one."""
        length = self._first_values.get(b"content-length")
        return max_bytes if length is None else min(int(length), max_bytes)

    @property
    def has_responded(self) -> bool:
        """Whether `respond` was called."""
        return self._response is not None

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Sends the response; calls after the first have no effect.

        The response to a pipelined request waits for those before it.

        Args:
            status: HTTP status code.
            headers: Names and values, alternating. Those that describe the
                connection or the body length are replaced.
            body: The complete body; not sent for a HEAD request.
        """
        if self._response is not None:
            return
        self._response = (status, headers, body)
        self.on_disconnect = None
        if self.channel is not None:
            self.channel.response_ready()

    @property
    def response_bytes(self) -> int:
        """Size of the body of a response that has not been sent."""
        return len(self._response[2]) if self._response is not None else 0

    def take_response(self) -> tuple[bytes, bytes]:
        """Returns the encoded response and keeps no copy of its body.

        Returns:
            The response, and its body if that is large and thus not copied.

        Raises:
            ValueError: If `respond` was not called.
        """
        if self._response is None:
            raise ValueError("the request has no response")
        status, headers, body = self._response
        self._response = (status, [], b"")
        parts = [_STATUS_LINES.get(status) or f"HTTP/1.1 {status} Unknown\r\n"]
        for index in range(0, len(headers), 2):
            name = headers[index]
            if name.lower() not in _DROPPED_RESPONSE_HEADERS:
                parts.append(f"{name}: {headers[index + 1]}\r\n")
        if not self.is_persistent:
            parts.append("Connection: close\r\n")
        parts.append(f"Content-Length: {len(body)}\r\n\r\n")
        head = "".join(parts).encode("latin-1", "replace")
        if self.method == b"HEAD":
            return head, b""
        if len(body) > SMALL_BODY_BYTES:
            return head, body
        return head + body, b""

    def notify_disconnect(self) -> None:
        """Calls `on_disconnect` if no response was sent."""
        self.channel = None
        callback = self.on_disconnect
        self.on_disconnect = None
        if callback is not None:
            callback()
