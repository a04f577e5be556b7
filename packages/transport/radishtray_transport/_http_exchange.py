"""One HTTP exchange: its request, answer and failure."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

HeaderList = list[str]
"""Header names and values, alternating."""


class Abandonable(Protocol):
    """A connection that a request can give up."""

    def abandon(self) -> None:
        """Closes the connection without waiting for an answer."""
        ...


class RequestFailure(Enum):
    """Why no whole answer was received."""

    NOT_CONNECTED = "not_connected"
    """No connection was made, so nothing was sent."""

    CONNECTION_LOST = "connection_lost"
    """The connection closed after the request had been handed to it."""

    CANCELLED = "cancelled"
    """The sender gave up; the connection was closed."""

    INVALID_ANSWER = "invalid_answer"
    """The answer was malformed or exceeded the size limit."""


class HttpAnswer:
    """A whole answer.

    Attributes:
        status: HTTP status code.
        headers: Names and values, alternating, without hop-by-hop headers.
        body: The whole body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Holds the parts of an answer."""
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, compared without case."""
        wanted = name.lower()
        headers = self.headers
        for index in range(0, len(headers), 2):
            if headers[index].lower() == wanted:
                return headers[index + 1]
        return None


AnswerCallback = Callable[[HttpAnswer], None]
FailureCallback = Callable[[RequestFailure], None]


class AnswerRules:
    """How the answers of a server are read.

    Attributes:
        ends_with_connection: Whether an answer without a length is whole once
            its connection was closed in order.
        id_header: Header in which the server repeats the request's id; empty
            if it does not. An answer with another id is dropped.
        idle_limit_s: Seconds after which an idle connection is not used again,
            unless the server states less.
    """

    __slots__ = ("ends_with_connection", "id_header", "idle_limit_s")

    def __init__(
        self,
        ends_with_connection: bool = False,
        id_header: str = "",
        idle_limit_s: float = 3600.0,
    ) -> None:
        """Holds the rules.

        Raises:
            ValueError: If the idle limit is not positive.
        """
        if idle_limit_s <= 0:
            raise ValueError("idle_limit_s must be positive")
        self.ends_with_connection = ends_with_connection
        self.id_header = id_header.lower()
        self.idle_limit_s = idle_limit_s


class PendingRequest:
    """One request of an `HttpClient`, until its answer or failure."""

    __slots__ = (
        "_connection",
        "_on_answer",
        "_on_failure",
        "data",
        "expected_id",
        "is_head",
    )

    def __init__(
        self,
        data: bytes,
        is_head: bool,
        on_answer: AnswerCallback,
        on_failure: FailureCallback,
        expected_id: str = "",
    ) -> None:
        """Holds an encoded request and what to call with its result.

        Args:
            data: The whole encoded request.
            is_head: Whether the answer has no body.
            on_answer: Called once with the whole answer.
            on_failure: Called once if there is none.
            expected_id: Id that the answer repeats; empty accepts any.
        """
        self.expected_id = expected_id
        self.data = data
        self.is_head = is_head
        self._on_answer: AnswerCallback | None = on_answer
        self._on_failure: FailureCallback | None = on_failure
        self._connection: Abandonable | None = None

    @property
    def is_settled(self) -> bool:
        """Whether the answer or the failure has been reported."""
        return self._on_answer is None

    @property
    def was_sent(self) -> bool:
        """Whether the request was handed to a connection."""
        return self._connection is not None

    def attach(self, connection: Abandonable) -> None:
        """Remembers the connection that carries the request."""
        self._connection = connection

    def answer(self, answer: HttpAnswer) -> None:
        """Reports the answer unless the request is settled."""
        callback = self._on_answer
        if callback is not None:
            self._on_answer = self._on_failure = None
            callback(answer)

    def fail(self, failure: RequestFailure) -> None:
        """Reports the failure unless the request is settled."""
        callback = self._on_failure
        if callback is not None:
            self._on_answer = self._on_failure = None
            callback(failure)

    def cancel(self) -> None:
        """Gives up; closes the connection, so that no answer can cross."""
        connection = self._connection
        self.fail(RequestFailure.CANCELLED)
        if connection is not None:
            connection.abandon()
