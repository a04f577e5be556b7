"""HTTP/1.1 server."""

from collections.abc import Callable

from twisted.internet.interfaces import IListeningPort, IReactorTCP
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from radishtray_transport._http_channel import HttpChannel
from radishtray_transport._http_request import HttpLimits, HttpRequest
from radishtray_transport._memory_account import (
    MemoryAccount,
    MemoryPurpose,
)

_TIMEOUT_CHECK_INTERVAL_S = 1.0
_LISTEN_BACKLOG = 1024
# Share of the connections from which on slow clients are ended.
_CROWDED_SHARE = 0.75
# Finding unused connections takes about 1 ms for 4,000 connections.
_UNUSED_CHECK_INTERVAL_S = 0.25
# Measured with 1,500 idle connections: 5.3 kB each.
_CONNECTION_BYTES = 6000
SPARE_CONNECTIONS = 32
"""Connections above the limit, while others are being closed for them."""


class HttpServer:
    """A listener that passes complete requests to one handler.

    Attributes:
        reactor: The Twisted reactor.
        limits: Limits of the listener.
        handler: Called with each complete request.
        may_overlap: Whether a pipelined request may be handled together with
            others of which this is true as well.
        on_rejected: Called with the reason for each rejected request or
            connection.
        memory: Account of the memory for requests and for responses that
            clients do not read; None for no limit.
        budget_header: Header in which clients state their time budget in
            milliseconds, half of which their bodies wait for memory; empty if
            there is none.
    """

    __slots__ = (
        "_channels",
        "_factory",
        "_port",
        "_timeout_check",
        "_unused_closed_s",
        "budget_header",
        "handler",
        "limits",
        "may_overlap",
        "memory",
        "on_rejected",
        "reactor",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        handler: Callable[[HttpRequest], None],
        limits: HttpLimits,
        on_rejected: Callable[[str], None] = lambda _: None,
        may_overlap: Callable[[HttpRequest], bool] = lambda _: False,
        memory: MemoryAccount | None = None,
        budget_header: bytes = b"",
    ) -> None:
        """Configures a listener; `start` opens it."""
        self.memory = memory
        self.budget_header = budget_header
        self.reactor = reactor
        self.handler = handler
        self.may_overlap = may_overlap
        self.limits = limits
        self.on_rejected = on_rejected
        self._channels: set[HttpChannel] = set()
        self._unused_closed_s = reactor.seconds()
        self._factory = _ServerFactory(self)
        self._port: IListeningPort | None = None
        # Checking all connections periodically avoids a timer per request.
        self._timeout_check = LoopingCall(self._enforce_timeouts)
        self._timeout_check.clock = reactor

    @property
    def is_tight(self) -> bool:
        """Whether slow clients are ended, to have room for others."""
        return self.is_crowded or (
            self.memory is not None and self.memory.is_tight
        )

    @property
    def is_crowded(self) -> bool:
        """Whether most of the connections are in use."""
        return len(self._channels) > self.limits.connections * _CROWDED_SHARE

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._channels)

    @property
    def port(self) -> int:
        """The TCP port of the open listener."""
        assert self._port is not None
        return int(self._port.getHost().port)

    def start(self, host: str, port: int) -> None:
        """Opens the listener.

        Args:
            host: IP address.
            port: TCP port; 0 chooses a free one.
        """
        self._port = self.reactor.listenTCP(
            port, self._factory, backlog=_LISTEN_BACKLOG, interface=host
        )
        self._timeout_check.start(_TIMEOUT_CHECK_INTERVAL_S, now=False)

    def _enforce_timeouts(self) -> None:
        now_s = self.reactor.seconds()
        for channel in list(self._channels):
            channel.enforce_timeouts(now_s)

    def close(self) -> None:
        """Stops accepting; each connection closes after its last response.

        Idle connections close at once.
        """
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        if self._timeout_check.running:
            self._timeout_check.stop()
        for channel in list(self._channels):
            channel.close_when_idle()

    def admit_connection(self) -> bool:
        """Returns whether a new connection is below the limit.

        At the limit, the connections that have been unused for longest are
        closed, so that those who do not use theirs keep out no others. Reports
        a connection above the limit to `on_rejected`.
        """
        count = len(self._channels)
        limit = self.limits.connections
        if count >= limit:
            self._close_unused()
        if count < limit + SPARE_CONNECTIONS and (
            count < limit or any(c.is_closed for c in self._channels)
        ):
            return True
        self.on_rejected("too_many_connections")
        return False

    def _close_unused(self) -> None:
        """Closes some connections without a request, if there are any."""
        now_s = self.reactor.seconds()
        if now_s - self._unused_closed_s < _UNUSED_CHECK_INTERVAL_S:
            return
        self._unused_closed_s = now_s
        unused = [c for c in self._channels if c.may_be_replaced(now_s)]
        unused.sort(key=lambda channel: channel.idle_since_s)
        for channel in unused[:SPARE_CONNECTIONS]:
            self.on_rejected("unused_connection")
            channel.close_when_idle()

    def channel_opened(self, channel: HttpChannel) -> None:
        """Adds a channel to the open connections."""
        self._channels.add(channel)
        if self.memory is not None:
            self.memory.charge(
                channel, _CONNECTION_BYTES, MemoryPurpose.CONNECTIONS
            )

    def channel_closed(self, channel: HttpChannel) -> None:
        """Removes a channel from the open connections."""
        self._channels.discard(channel)
        if self.memory is not None:
            self.memory.release(channel)


class _ServerFactory(Factory):
    noisy = False

    def __init__(self, server: HttpServer) -> None:
        self._server = server

    def buildProtocol(self, addr: object) -> HttpChannel | None:
        if not self._server.admit_connection():
            return None
        return HttpChannel(self._server)
