"""Pending requests of an `HttpClient`, and their responses and failures."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

HeaderList = list[str]
"""Header names and values, alternating."""


def find_header(headers: HeaderList, name: str) -> str | None:
    """Returns the first value of a header; names are case-insensitive."""
    lowered = name.lower()
    for index in range(0, len(headers), 2):
        if headers[index].lower() == lowered:
            return headers[index + 1]
    return None


class AbortableConnection(Protocol):
    """The connection that carries a request."""

    def abort(self) -> None:
        """Closes the connection without waiting for a response."""
        ...


class RequestFailure(Enum):
    """Why a request has no complete response."""

    NOT_CONNECTED = "not_connected"
    """No connection was made, so nothing was sent."""

    CONNECTION_LOST = "connection_lost"
    """The connection closed after the request had been written to it."""

    CANCELLED = "cancelled"
    """The request was cancelled; its connection, if any, was closed."""

    INVALID_ANSWER = "invalid_answer"
    """The response was malformed, exceeded a limit or stated no request id."""


class ResponseFault(Enum):
    """What a server sent that is not the response to the request in flight."""

    OTHER_REQUEST = "other_request"
    """A complete response that states the id of another request."""

    NO_REQUEST_ID = "no_request_id"
    """A response without the id that the server must repeat."""

    EXTRA_BYTES = "extra_bytes"
    """Bytes after a complete response."""

    UNSOLICITED_BYTES = "unsolicited_bytes"
    """Bytes while no request was in flight."""

    MALFORMED = "malformed"
    """A response that can't be parsed or exceeds a limit."""


class HttpResponse:
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Names and values, alternating, without hop-by-hop headers
            and without Content-Length.
        body: The complete body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Creates a response; see the attributes of the class."""
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str | None:
        """Returns the first value of a header; names are case-insensitive."""
        return find_header(self.headers, name)


ResponseCallback = Callable[[HttpResponse], None]
FailureCallback = Callable[[RequestFailure], None]


class ResponseRules:
    """How the responses of a server are read.

    Attributes:
        allows_close_delimited: Whether a response without Content-Length and
            Transfer-Encoding is complete when the server closes the
            connection without an error.
        request_id_header: Header in which the server repeats the request's id;
            empty if it does not. A response with another id is dropped.
        requires_request_id: Whether a response without an id fails the
            request, except for a 503 without a body, which is reported without
            its headers. Otherwise it is accepted.
        idle_limit_s: Seconds after which an idle connection is not reused,
            unless the server's Keep-Alive header states a shorter time.
    """

    __slots__ = (
        "allows_close_delimited",
        "idle_limit_s",
        "request_id_header",
        "requires_request_id",
    )

    def __init__(
        self,
        allows_close_delimited: bool = False,
        request_id_header: str = "",
        idle_limit_s: float = 3600.0,
        requires_request_id: bool = True,
    ) -> None:
        """Validates the rules.

        Raises:
            ValueError: If the idle limit is not positive.
        """
        if idle_limit_s <= 0:
            raise ValueError("idle_limit_s must be positive")
        self.allows_close_delimited = allows_close_delimited
        self.request_id_header = request_id_header.lower()
        self.requires_request_id = requires_request_id
        self.idle_limit_s = idle_limit_s


class PendingRequest:
    """One request of an `HttpClient`.

    It is settled by a response, a failure or a cancellation, whichever comes
    first; later ones are ignored.

    Attributes:
        expected_request_id: Request id that the response must repeat if the
            rules name a header for it; empty accepts any.
        is_head_request: Whether the method is HEAD, so that the response has
            no body.
    """

    __slots__ = (
        "_body",
        "_connection",
        "_data",
        "_on_failure",
        "_on_response",
        "expected_request_id",
        "is_head_request",
    )

    def __init__(
        self,
        data: bytes,
        is_head_request: bool,
        on_response: ResponseCallback,
        on_failure: FailureCallback,
        expected_request_id: str = "",
        body: bytes = b"",
    ) -> None:
        """Creates a request that is not yet sent.

        Args:
            data: The encoded request, without `body`.
            is_head_request: Whether the method is HEAD, so that the response
                has no body.
            on_response: Called with the response, at most once.
            on_failure: Called instead if there is no response.
            expected_request_id: Request id that the response must repeat if
                the rules name a header for it; empty accepts any.
            body: A large body, which is not copied.
        """
        self.expected_request_id = expected_request_id
        self._data = data
        self._body = body
        self.is_head_request = is_head_request
        self._on_response: ResponseCallback | None = on_response
        self._on_failure: FailureCallback | None = on_failure
        self._connection: AbortableConnection | None = None

    @property
    def is_settled(self) -> bool:
        """Whether the response or the failure has been reported."""
        return self._on_response is None

    @property
    def was_sent(self) -> bool:
        """Whether the request was passed to a connection."""
        return self._connection is not None

    def attach(self, connection: AbortableConnection) -> None:
        """Sets the connection that carries the request."""
        self._connection = connection

    def take_data(self) -> tuple[bytes, bytes]:
        """Returns the encoded request and a large body; keeps neither."""
        data, self._data = self._data, b""
        body, self._body = self._body, b""
        return data, body

    def succeed(self, response: HttpResponse) -> None:
        """Reports the response unless the request is settled."""
        callback = self._on_response
        if callback is not None:
            self._on_response = self._on_failure = None
            callback(response)

    def fail(self, failure: RequestFailure) -> None:
        """Reports the failure unless the request is settled."""
        callback = self._on_failure
        if callback is not None:
            self._on_response = self._on_failure = None
            self._body = b""
            callback(failure)

    def cancel(self) -> None:
        """Settles as cancelled and closes the connection.

        Closing keeps a late response from reaching the connection's next
        request. Has no effect on a settled request, whose connection may carry
        another one.
        """
        if self.is_settled:
            return
        connection = self._connection
        self.fail(RequestFailure.CANCELLED)
        if connection is not None:
            connection.abort()
