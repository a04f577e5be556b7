"""A received HTTP request and the bounds of a listener."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from radishtray_transport._http_exchange import HeaderList

if TYPE_CHECKING:
    from radishtray_transport._http_channel import HttpChannel

# Bytes of a header line besides its name and value.
_HEADER_OVERHEAD_BYTES = 4
_DROPPED_ANSWER_HEADERS = frozenset(
    ("connection", "content-length", "transfer-encoding", "keep-alive")
)
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in HTTPStatus
}


class HttpLimits:
    """Bounds of one HTTP listener.

    Attributes:
        head_bytes: Longest request line and headers together.
        headers: Most headers of a request.
        body_bytes: Longest request body.
        connections: Most open connections.
        idle_s: Seconds without received bytes after which a connection that
            waits for a request, or for the rest of one, is closed.
        request_s: Seconds in which a whole request must arrive.
    """

    __slots__ = (
        "body_bytes",
        "connections",
        "head_bytes",
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
    ) -> None:
        """Checks and holds the bounds.

        Raises:
            ValueError: If a bound is not positive.
        """
        self.head_bytes = head_bytes
        self.headers = headers
        self.body_bytes = body_bytes
        self.connections = connections
        self.idle_s = idle_s
        self.request_s = request_s
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be positive")


class HttpRequest:
    """A whole request, answered once with `respond`.

    Attributes:
        channel: The connection, or None once it is lost.
        method: HTTP method.
        uri: Request target.
        headers: For each header its name in lower case, its name as received,
            and its value.
        body: The whole body.
        on_disconnect: Called if the peer disconnects before the answer.
        head_bytes: Length of the request target and the headers so far.
        is_persistent: Whether the connection stays open after the answer.
        is_too_large: Whether the body exceeded the limit and was dropped.
    """

    __slots__ = (
        "_first_values",
        "_is_answered",
        "body",
        "channel",
        "head_bytes",
        "headers",
        "is_persistent",
        "is_too_large",
        "method",
        "on_disconnect",
        "uri",
    )

    def __init__(self, channel: "HttpChannel") -> None:
        """Begins a request on a connection."""
        self.channel: HttpChannel | None = channel
        self.method = b""
        self.uri = b""
        self.headers: list[tuple[bytes, bytes, bytes]] = []
        self.body = b""
        self.on_disconnect: Callable[[], None] | None = None
        self.head_bytes = 0
        self.is_persistent = True
        self.is_too_large = False
        self._first_values: dict[bytes, bytes] = {}
        self._is_answered = False

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header in the order of arrival."""
        lowered = name.lower()
        self.headers.append((lowered, name, value))
        self._first_values.setdefault(lowered, value)
        self.head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, compared without case."""
        return self._first_values.get(name.lower())

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Sends the answer.

        Args:
            status: HTTP status code.
            headers: Names and values, alternating.
            body: The whole body.
        """
        if self._is_answered:
            return
        self._is_answered = True
        self.on_disconnect = None
        channel = self.channel
        if channel is None:
            return
        self.is_persistent = self.is_persistent and channel.is_persistent
        parts = [_STATUS_LINES.get(status) or f"HTTP/1.1 {status} Unknown\r\n"]
        for index in range(0, len(headers), 2):
            name = headers[index]
            if name.lower() not in _DROPPED_ANSWER_HEADERS:
                parts.append(f"{name}: {headers[index + 1]}\r\n")
        if not self.is_persistent:
            parts.append("Connection: close\r\n")
        parts.append(f"Content-Length: {len(body)}\r\n\r\n")
        head = "".join(parts).encode("latin-1", "replace")
        channel.writer.write(head if self.method == b"HEAD" else head + body)
        channel.request_answered(self)

    def disconnected(self) -> None:
        """Reports a disconnect before the answer."""
        self.channel = None
        callback = self.on_disconnect
        self.on_disconnect = None
        if callback is not None:
            callback()
