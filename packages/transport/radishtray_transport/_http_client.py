"""HTTP/1.1 client with a pool of keep-alive connections to one server.

Requests to upstreams use this client instead of `twisted.web.client.Agent`,
which takes more than one millisecond per call. Responses are parsed by
`httptools` and reported to callbacks.
"""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory

from radishtray_transport._http_connection import HttpConnection
from radishtray_transport._http_exchange import (
    FailureCallback,
    HeaderList,
    PendingRequest,
    RequestFailure,
    ResponseCallback,
    ResponseFault,
    ResponseRules,
)
from radishtray_transport._memory_account import (
    SMALL_BODY_BYTES,
    MemoryAccount,
)

DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, client: "HttpClient") -> None:
        self._client = client

    def buildProtocol(self, addr: object) -> HttpConnection:
        return HttpConnection(self._client)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self._client.connection_failed()


class HttpClient:
    """A client for one address with a pool of keep-alive connections.

    Requests are queued while all connections are in use. The most recently
    used idle connection is reused first, but not for a request whose id it has
    already sent.

    Attributes:
        memory: Account for large bodies that are being read; None for no limit.
        max_body_bytes: Maximum size of a response body.
        max_connections: Maximum number of open connections; a lower one does
            not close those that are open.
        rules: How responses are read.
        report_fault: Called with each fault in what the server sends.
        uses_keep_alive: Whether connections on which the server has fallen
            silent are ended, also while a request waits for its response.
        may_read_slowly: Whether a server that reads nothing for seconds is not
            taken for silent.
    """

    __slots__ = (
        "_connecting_count",
        "_factory",
        "_host",
        "_idle_connections",
        "_is_closed",
        "_open_connections",
        "_port",
        "_queued_requests",
        "_reactor",
        "max_body_bytes",
        "max_connections",
        "may_read_slowly",
        "memory",
        "report_fault",
        "rules",
        "uses_keep_alive",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        host: str,
        port: int,
        max_connections: int,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        rules: ResponseRules | None = None,
        on_fault: Callable[[ResponseFault], None] = lambda _: None,
        *,
        uses_keep_alive: bool = False,
        may_read_slowly: bool = False,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Configures a client; connections are opened on demand.

        Args:
            reactor: The Twisted reactor.
            host: IP address.
            port: TCP port.
            max_connections: Maximum number of open connections.
            max_body_bytes: Maximum size of a response body.
            rules: How responses are read.
            on_fault: Called with each fault in what the server sends.
            uses_keep_alive: Whether connections on which the server has fallen
                silent are ended.
            may_read_slowly: Whether a server that reads nothing for seconds is
                not taken for silent.
            memory: Account for large bodies that are being read; None for no
                limit.
        """
        self.memory = memory
        self.uses_keep_alive = uses_keep_alive
        self.may_read_slowly = may_read_slowly
        self.report_fault = on_fault
        self.max_body_bytes = max_body_bytes
        self.rules = rules or ResponseRules()
        self._reactor = reactor
        self._host = host
        self._port = port
        self.max_connections = max_connections
        self._factory = _ConnectionFactory(self)
        self._idle_connections: list[HttpConnection] = []
        self._open_connections: set[HttpConnection] = set()
        self._connecting_count = 0
        self._queued_requests: list[PendingRequest] = []
        self._is_closed = False

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self._host, self._port

    def request(
        self,
        method: str,
        path: str,
        headers: HeaderList,
        body: bytes,
        on_response: ResponseCallback,
        on_failure: FailureCallback,
        *,
        host: str | None = None,
        expected_request_id: str = "",
    ) -> PendingRequest:
        """Sends a request.

        Args:
            method: HTTP method.
            path: Request target.
            headers: Names and values, alternating; Host and Content-Length
                are added.
            body: The complete body.
            on_response: Called with the response, at most once.
            on_failure: Called instead if there is no response.
            host: Value of the Host header; the server's address if None.
            expected_request_id: Request id that the response must repeat if
                the rules name a header for it; empty accepts any.

        Returns:
            The pending request, which can be cancelled.
        """
        parts = [f"{method} {path} HTTP/1.1\r\nHost: {host or self._host}\r\n"]
        for index in range(0, len(headers), 2):
            parts.append(f"{headers[index]}: {headers[index + 1]}\r\n")
        parts.append(f"Content-Length: {len(body)}\r\n\r\n")
        data = "".join(parts).encode("latin-1")
        large_body = body if len(body) > SMALL_BODY_BYTES else b""
        pending = PendingRequest(
            data if large_body else data + body,
            method == "HEAD",
            on_response,
            on_failure,
            expected_request_id,
            large_body,
        )
        connection = (
            None if self._is_closed else self._pop_idle_connection(pending)
        )
        if self._is_closed:
            pending.fail(RequestFailure.NOT_CONNECTED)
        elif connection is not None:
            connection.send(pending)
        else:
            self._queued_requests.append(pending)
            self._provide_connection()
        return pending

    def _pop_idle_connection(
        self, pending: PendingRequest
    ) -> HttpConnection | None:
        """Returns the most recently used idle connection that is reusable.

        One that has already sent the id of the request stays idle. If one
        exceeds its idle limit, it and those that are idle for longer are
        closed.
        """
        now_s = self._reactor.seconds()
        idle = self._idle_connections
        for index in reversed(range(len(idle))):
            connection = idle[index]
            if now_s - connection.idle_since_s > connection.idle_limit_s:
                expired = idle[: index + 1]
                del idle[: index + 1]
                for old in expired:
                    old.transport.loseConnection()
                return None
            if not connection.has_sent(pending):
                del idle[index]
                return connection
        return None

    def close(self) -> None:
        """Closes each connection after its response; idle ones at once.

        Queued requests fail as not connected.
        """
        self._is_closed = True
        self._fail_queued_requests()
        for connection in list(self._idle_connections):
            connection.transport.loseConnection()

    def _provide_connection(self) -> None:
        """Opens a connection for a queued request, if one more is allowed.

        Otherwise an idle one, which has sent the id of the request before, is
        replaced.
        """
        count = len(self._open_connections) + self._connecting_count
        if count < self.max_connections:
            self._start_connecting()
        elif self._idle_connections:
            self._idle_connections.pop(0).transport.loseConnection()

    def _start_connecting(self) -> None:
        self._connecting_count += 1
        self._reactor.connectTCP(
            self._host, self._port, self._factory, timeout=5
        )

    def _pop_queued_request(self) -> PendingRequest | None:
        while self._queued_requests:
            pending = self._queued_requests.pop(0)
            if not pending.is_settled:
                return pending
        return None

    def _fail_queued_requests(self) -> None:
        queued = self._queued_requests
        self._queued_requests = []
        for pending in queued:
            pending.fail(RequestFailure.NOT_CONNECTED)

    def connection_opened(self, connection: HttpConnection) -> None:
        """Adds a new connection to the pool."""
        self._connecting_count -= 1
        self._open_connections.add(connection)
        self.connection_idle(connection)

    def connection_failed(self) -> None:
        """Fails the queued requests if no other connection is open or opening.

        Otherwise another connection may still send them.
        """
        self._connecting_count -= 1
        if not self._open_connections and not self._connecting_count:
            self._fail_queued_requests()

    def connection_idle(self, connection: HttpConnection) -> None:
        """Sends the next queued request, or keeps the connection idle."""
        pending = self._pop_queued_request()
        if pending is not None and connection.has_sent(pending):
            # The queued request is sent on the connection that replaces it.
            self._queued_requests.insert(0, pending)
            connection.transport.loseConnection()
        elif pending is not None:
            connection.send(pending)
        elif self._is_closed:
            connection.transport.loseConnection()
        else:
            connection.idle_since_s = self._reactor.seconds()
            self._idle_connections.append(connection)

    def connection_closed(self, connection: HttpConnection) -> None:
        """Removes a closed connection; opens another for queued requests."""
        self._open_connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        if self._queued_requests and not self._is_closed:
            self._provide_connection()
