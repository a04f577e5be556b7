"""A Twisted reactor with simulated time and in-memory TCP and UDP.

Faults can be set for each end of a connection.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.interfaces import IPushProducer, ITCPTransport
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from zope.interface import implementer

_STEP_S = 0.005
_HOST = "127.0.0.1"


@implementer(ITCPTransport, IPushProducer)
class MemoryTransport:
    """One end of a TCP connection, with the write order of Twisted's TCP.

    `write` buffers data until the next iteration of the event loop, while
    `writeSomeData` sends at once, ahead of the buffer, as on a socket.

    Attributes:
        connected: Whether the connection is open at this end.
        disconnecting: Whether it closes once the send buffer is empty.
        is_silent: Whether everything that this end sends is lost, including
            the close or reset of the connection.
        holds_back: Whether everything that this end sends is held until
            `release` is called.
        delay_s: One-way delay of what this end sends.
        max_write_some_bytes: Most bytes that one `writeSomeData` sends; None
            for no limit.
        protocol: The protocol at this end.
    """

    def __init__(self, network: "MemoryNetwork", port: int) -> None:
        """Creates an end that is not connected.

        Args:
            network: Reactor that runs the deliveries.
            port: Port of the listener, which both addresses name.
        """
        self.connected = False
        self.disconnecting = False
        self.is_silent = False
        self.holds_back = False
        self.delay_s = 0.0
        self.max_write_some_bytes: int | None = None
        self.protocol: Any = None
        self._network = network
        self._address = IPv4Address("TCP", _HOST, port)
        self._peer: MemoryTransport | None = None
        self._send_buffer = b""
        self._received_while_paused: list[Callable[[], None]] = []
        self._is_paused = False
        self._held: list[Callable[[], None]] = []
        self._last_arrival_s = 0.0

    def connect_to(self, peer: "MemoryTransport") -> None:
        """Connects this end and the peer to each other."""
        self._peer, peer._peer = peer, self
        self.connected = peer.connected = True

    def write(self, data: bytes) -> None:
        """Buffers data until the next iteration of the event loop."""
        if not self._send_buffer:
            self._network.callLater(0, self._flush)
        self._send_buffer += data

    def writeSequence(self, parts: list[bytes]) -> None:
        """Buffers the parts as one write."""
        self.write(b"".join(parts))

    def writeSomeData(self, data: bytes) -> int:
        """Sends data at once, ahead of the send buffer.

        Returns:
            Number of bytes that were sent.
        """
        sent = (
            data
            if self.max_write_some_bytes is None
            else data[: self.max_write_some_bytes]
        )
        self._send(sent)
        return len(sent)

    def _flush(self) -> None:
        data, self._send_buffer = self._send_buffer, b""
        if data:
            self._send(data)
        if self.disconnecting:
            self._close(is_reset=False)

    def _send(self, data: bytes) -> None:
        peer = self._peer
        if self.connected and peer is not None:
            self._carry(lambda: peer.receive(data))

    def _carry(self, arrive: Callable[[], None]) -> None:
        """Schedules an arrival at the peer, in order, subject to the faults."""
        if self.is_silent:
            return
        if self.holds_back:
            self._held.append(arrive)
            return
        now_s = self._network.seconds()
        self._last_arrival_s = max(now_s + self.delay_s, self._last_arrival_s)
        self._network.callLater(self._last_arrival_s - now_s, arrive)

    def release(self) -> None:
        """Sends everything that was held and stops holding."""
        self.holds_back = False
        held, self._held = self._held, []
        for arrive in held:
            self._carry(arrive)

    def receive(self, data: bytes) -> None:
        """Passes data to the protocol, or keeps it while this end is paused."""
        if self._is_paused:
            self._received_while_paused.append(lambda: self.receive(data))
        elif self.connected:
            self.protocol.dataReceived(data)

    def handle_peer_close(self) -> None:
        """Ends the connection once the data before the close is processed."""
        if self._is_paused:
            self._received_while_paused.append(self.handle_peer_close)
        else:
            self._end_connection(ConnectionDone())

    def handle_peer_reset(self) -> None:
        """Ends the connection at once and drops unprocessed data."""
        self._received_while_paused.clear()
        self._end_connection(ConnectionLost())

    def loseConnection(self) -> None:
        """Closes the connection once the send buffer is empty."""
        self.disconnecting = True
        if not self._send_buffer:
            self._network.callLater(0, self._flush)

    def abortConnection(self) -> None:
        """Resets the connection at once."""
        self._close(is_reset=True)

    def _close(self, *, is_reset: bool) -> None:
        peer = self._peer
        if self.connected and peer is not None:
            self._carry(
                peer.handle_peer_reset if is_reset else peer.handle_peer_close
            )
            self.connected = False
            self.disconnecting = True
            self._network.callLater(
                0, self._report_connection_lost, ConnectionDone()
            )

    def _end_connection(self, reason: Exception) -> None:
        if self.connected:
            self.connected = False
            self._report_connection_lost(reason)

    def _report_connection_lost(self, reason: Exception) -> None:
        self.protocol.connectionLost(Failure(reason))

    def pauseProducing(self) -> None:
        """Keeps received data until `resumeProducing`."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Resumes, and processes what was received while paused."""
        self._is_paused = False
        received, self._received_while_paused = self._received_while_paused, []
        for process in received:
            process()

    def stopProducing(self) -> None:
        """Closes the connection."""
        self.loseConnection()

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Does nothing: the send buffer is unbounded, so it never pauses."""

    def unregisterProducer(self) -> None:
        """Does nothing, as `registerProducer` does."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing: no Nagle's algorithm is simulated."""

    def getPeer(self) -> IPv4Address:
        """Returns the listener's address, for either end of the connection."""
        return self._address

    def getHost(self) -> IPv4Address:
        """Returns the listener's address, for either end of the connection."""
        return self._address


class _ListeningPort:
    """A TCP port that accepts connections."""

    def __init__(self, network: "MemoryNetwork", port: int) -> None:
        self._network = network
        self._port = port

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", _HOST, self._port)

    def stopListening(self) -> None:
        self._network.listener_factories.pop(self._port, None)


class RawConnection(Protocol):
    """Client protocol that collects what a server sends.

    Attributes:
        received: All data received so far.
        is_closed: Whether the connection has ended.
    """

    def __init__(self) -> None:
        """Creates a protocol that has received nothing."""
        self.received = b""
        self.is_closed = False

    def dataReceived(self, data: bytes) -> None:
        """Appends data to `received`."""
        self.received += data

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Sets `is_closed`."""
        self.is_closed = True


class _DatagramPort:
    """A UDP socket of a `MemoryNetwork`."""

    def __init__(
        self, network: "MemoryNetwork", port: int, protocol: Any
    ) -> None:
        self._network = network
        self.port = port
        self.protocol = protocol

    def getHost(self) -> IPv4Address:
        """Returns the socket's address."""
        return IPv4Address("UDP", _HOST, self.port)

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram; it is lost if no socket is open at the address."""
        self._network.callLater(
            0.001, self._network.deliver_datagram, data, self.port, address[1]
        )

    def stopListening(self) -> None:
        """Closes the socket."""
        self._network.datagram_ports.pop(self.port, None)


class MemoryNetwork(Clock):
    """A reactor with simulated time and in-memory TCP and UDP.

    Attributes:
        listener_factories: Protocol factories of TCP listeners by port.
        connections: Client end and server end of every TCP connection that was
            opened, by the listener's port, oldest first.
        silent_ports: TCP ports whose new connections open with `is_silent` set
            at both ends.
        datagram_ports: UDP sockets by port.
    """

    def __init__(self) -> None:
        """Creates a network at time zero without sockets."""
        super().__init__()
        self.listener_factories: dict[int, Any] = {}
        self.connections: dict[
            int, list[tuple[MemoryTransport, MemoryTransport]]
        ] = {}
        self.silent_ports: set[int] = set()
        self.datagram_ports: dict[int, _DatagramPort] = {}
        self._last_port = 1000

    def listenUDP(
        self,
        port: int,
        protocol: Any,
        interface: str = "",
        **options: int,
    ) -> _DatagramPort:
        """Opens a UDP socket; port 0 assigns the next unused port."""
        del interface, options
        if not port:
            self._last_port += 1
            port = self._last_port
        datagram_port = _DatagramPort(self, port, protocol)
        self.datagram_ports[port] = datagram_port
        protocol.makeConnection(datagram_port)
        return datagram_port

    def deliver_datagram(
        self, data: bytes, source_port: int, target_port: int
    ) -> None:
        """Passes a datagram to the socket at its target port, if any."""
        datagram_port = self.datagram_ports.get(target_port)
        if datagram_port is not None:
            datagram_port.protocol.datagramReceived(data, (_HOST, source_port))

    def listenTCP(
        self, port: int, factory: Any, backlog: int = 0, interface: str = ""
    ) -> _ListeningPort:
        """Opens a listener; port 0 assigns the next unused port."""
        if not port:
            self._last_port += 1
            port = self._last_port
        self.listener_factories[port] = factory
        return _ListeningPort(self, port)

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> None:
        """Connects, or reports a refusal, in the next loop iteration."""
        self.callLater(0, self._connect, port, factory)

    def _connect(self, port: int, factory: Any) -> None:
        listener_factory = self.listener_factories.get(port)
        if listener_factory is None:
            refused = Failure(ConnectionRefusedError())
            factory.clientConnectionFailed(None, refused)
            return
        client_end = MemoryTransport(self, port)
        server_end = MemoryTransport(self, port)
        client_end.connect_to(server_end)
        client_end.is_silent = server_end.is_silent = port in self.silent_ports
        self.connections.setdefault(port, []).append((client_end, server_end))
        client_end.protocol = factory.buildProtocol(client_end.getPeer())
        client_end.protocol.factory = factory
        server_end.protocol = listener_factory.buildProtocol(
            client_end.getPeer()
        )
        if server_end.protocol is None:
            server_end.connected = False
            client_end.protocol.makeConnection(client_end)
            self.callLater(0, client_end.handle_peer_close)
            return
        server_end.protocol.makeConnection(server_end)
        client_end.protocol.makeConnection(client_end)

    def open_connection(self, port: int) -> "RawConnection":
        """Opens a TCP connection for a test that sends and reads raw bytes."""
        raw = RawConnection()
        factory = Factory()
        factory.buildProtocol = lambda _address: raw
        self.connectTCP(_HOST, port, factory)
        self.advance(0)
        return raw

    def run(self, seconds: float) -> None:
        """Advances simulated time in small steps."""
        for _ in range(round(seconds / _STEP_S)):
            self.advance(_STEP_S)
