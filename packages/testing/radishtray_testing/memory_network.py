"""TCP in memory on simulated time, with faults for each connection."""

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
    """One end of a connection, with the order of writes of Twisted's TCP.

    `write` queues until the next turn of the loop; `writeSomeData` overtakes
    the queue, as it does on a socket.

    Attributes:
        connected: Whether the connection is open at this end.
        disconnecting: Whether it closes once the queue is empty.
        is_silent: Whether what this end sends vanishes, closing included.
        holds_back: Whether what this end sends waits for `release`.
        delay_s: Time until the peer receives what this end sends.
        room: Bytes that one `writeSomeData` takes; None for all.
        protocol: The protocol at this end.
    """

    def __init__(self, network: "MemoryNetwork", port: int) -> None:
        """Creates an end that is not connected.

        Args:
            network: Delivers in order of time.
            port: Port of the listener, for the addresses.
        """
        self.connected = False
        self.disconnecting = False
        self.is_silent = False
        self.holds_back = False
        self.delay_s = 0.0
        self.room: int | None = None
        self.protocol: Any = None
        self._network = network
        self._address = IPv4Address("TCP", _HOST, port)
        self._peer: MemoryTransport | None = None
        self._queue = b""
        self._inbox: list[Callable[[], None]] = []
        self._is_paused = False
        self._held: list[Callable[[], None]] = []
        self._arrives_at_s = 0.0

    def join(self, peer: "MemoryTransport") -> None:
        """Connects both ends."""
        self._peer, peer._peer = peer, self
        self.connected = peer.connected = True

    def write(self, data: bytes) -> None:
        """Queues bytes for the next turn of the loop."""
        if not self._queue:
            self._network.callLater(0, self._flush)
        self._queue += data

    def writeSequence(self, parts: list[bytes]) -> None:
        """Queues several parts."""
        self.write(b"".join(parts))

    def writeSomeData(self, data: bytes) -> int:
        """Sends bytes at once, ahead of the queue."""
        taken = data if self.room is None else data[: self.room]
        self._send(taken)
        return len(taken)

    def _flush(self) -> None:
        data, self._queue = self._queue, b""
        if data:
            self._send(data)
        if self.disconnecting:
            self._close(is_reset=False)

    def _send(self, data: bytes) -> None:
        peer = self._peer
        if self.connected and peer is not None:
            self._carry(lambda: peer.receive(data))

    def _carry(self, arrive: Callable[[], None]) -> None:
        if self.is_silent:
            return
        if self.holds_back:
            self._held.append(arrive)
            return
        now_s = self._network.seconds()
        self._arrives_at_s = max(now_s + self.delay_s, self._arrives_at_s)
        self._network.callLater(self._arrives_at_s - now_s, arrive)

    def release(self) -> None:
        """Delivers what was held back, and no longer holds back."""
        self.holds_back = False
        held, self._held = self._held, []
        for arrive in held:
            self._carry(arrive)

    def receive(self, data: bytes) -> None:
        """Hands bytes to the protocol, or keeps them while paused."""
        if self._is_paused:
            self._inbox.append(lambda: self.receive(data))
        elif self.connected:
            self.protocol.dataReceived(data)

    def peer_closed(self) -> None:
        """Ends the connection after the bytes that came before."""
        if self._is_paused:
            self._inbox.append(self.peer_closed)
        else:
            self._lost(ConnectionDone())

    def peer_reset(self) -> None:
        """Ends the connection as a reset by the peer does."""
        self._inbox.clear()
        self._lost(ConnectionLost())

    def loseConnection(self) -> None:
        """Closes once the queue is empty."""
        self.disconnecting = True
        if not self._queue:
            self._network.callLater(0, self._flush)

    def abortConnection(self) -> None:
        """Resets the connection at once."""
        self._close(is_reset=True)

    def _close(self, *, is_reset: bool) -> None:
        peer = self._peer
        if self.connected and peer is not None:
            self._carry(peer.peer_reset if is_reset else peer.peer_closed)
            self.connected = False
            self.disconnecting = True
            self._network.callLater(0, self._report_lost, ConnectionDone())

    def _lost(self, reason: Exception) -> None:
        if self.connected:
            self.connected = False
            self._report_lost(reason)

    def _report_lost(self, reason: Exception) -> None:
        self.protocol.connectionLost(Failure(reason))

    def pauseProducing(self) -> None:
        """Keeps received bytes until `resumeProducing`."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Works through the bytes received in the meantime."""
        self._is_paused = False
        inbox, self._inbox = self._inbox, []
        for arrive in inbox:
            arrive()

    def stopProducing(self) -> None:
        """Closes the connection."""
        self.loseConnection()

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Needs no action: the queue has no bound."""

    def unregisterProducer(self) -> None:
        """Needs no action."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Needs no action."""

    def getPeer(self) -> IPv4Address:
        """Returns the listener's address."""
        return self._address

    def getHost(self) -> IPv4Address:
        """Returns the listener's address."""
        return self._address


class _Listening:
    """A listening port."""

    def __init__(self, network: "MemoryNetwork", port: int) -> None:
        self._network = network
        self._port = port

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", _HOST, self._port)

    def stopListening(self) -> None:
        self._network.listening.pop(self._port, None)


class RawConnection(Protocol):
    """Keeps what a server sends.

    Attributes:
        received: All bytes so far.
        is_closed: Whether the server has closed the connection.
    """

    def __init__(self) -> None:
        """Starts without bytes."""
        self.received = b""
        self.is_closed = False

    def dataReceived(self, data: bytes) -> None:
        """Adds received bytes."""
        self.received += data

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notes the end."""
        self.is_closed = True


class _DatagramPort:
    """One UDP socket of a `MemoryNetwork`."""

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
        """Sends a datagram; it is lost if nobody listens."""
        self._network.callLater(
            0.001, self._network.deliver, data, self.port, address[1]
        )

    def stopListening(self) -> None:
        """Closes the socket."""
        self._network.datagram_ports.pop(self.port, None)


class MemoryNetwork(Clock):
    """A reactor with simulated time, TCP and UDP within the process.

    Attributes:
        listening: Factories by port.
        connections: The opening and the accepting end of every connection,
            by port, oldest first.
        mute_ports: Ports whose connections open, but carry nothing.
        datagram_ports: UDP sockets by port.
    """

    def __init__(self) -> None:
        """Starts at time zero without listeners."""
        super().__init__()
        self.listening: dict[int, Any] = {}
        self.connections: dict[
            int, list[tuple[MemoryTransport, MemoryTransport]]
        ] = {}
        self.mute_ports: set[int] = set()
        self.datagram_ports: dict[int, _DatagramPort] = {}
        self._next_port = 1000

    def listenUDP(
        self,
        port: int,
        protocol: Any,
        interface: str = "",
        **options: int,
    ) -> _DatagramPort:
        """Opens a UDP socket; port 0 chooses one."""
        del interface, options
        if not port:
            self._next_port += 1
            port = self._next_port
        opened = _DatagramPort(self, port, protocol)
        self.datagram_ports[port] = opened
        protocol.makeConnection(opened)
        return opened

    def deliver(self, data: bytes, source: int, target: int) -> None:
        """Hands a datagram to the socket at its target, if there is one."""
        opened = self.datagram_ports.get(target)
        if opened is not None:
            opened.protocol.datagramReceived(data, (_HOST, source))

    def listenTCP(
        self, port: int, factory: Any, backlog: int = 0, interface: str = ""
    ) -> _Listening:
        """Opens a listener; port 0 chooses one."""
        if not port:
            self._next_port += 1
            port = self._next_port
        self.listening[port] = factory
        return _Listening(self, port)

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> None:
        """Connects on the next turn of the loop, or reports a refusal."""
        self.callLater(0, self._connect, port, factory)

    def _connect(self, port: int, factory: Any) -> None:
        listener = self.listening.get(port)
        if listener is None:
            refused = Failure(ConnectionRefusedError())
            factory.clientConnectionFailed(None, refused)
            return
        opening = MemoryTransport(self, port)
        accepting = MemoryTransport(self, port)
        opening.join(accepting)
        opening.is_silent = accepting.is_silent = port in self.mute_ports
        self.connections.setdefault(port, []).append((opening, accepting))
        opening.protocol = factory.buildProtocol(opening.getPeer())
        opening.protocol.factory = factory
        accepting.protocol = listener.buildProtocol(opening.getPeer())
        if accepting.protocol is None:
            accepting.connected = False
            opening.protocol.makeConnection(opening)
            self.callLater(0, opening.peer_closed)
            return
        accepting.protocol.makeConnection(accepting)
        opening.protocol.makeConnection(opening)

    def open(self, port: int) -> "RawConnection":
        """Opens a connection whose bytes a test reads and writes."""
        raw = RawConnection()
        factory = Factory()
        factory.buildProtocol = lambda _address: raw
        self.connectTCP(_HOST, port, factory)
        self.advance(0)
        return raw

    def run(self, seconds: float) -> None:
        """Lets time pass in small steps."""
        for _ in range(round(seconds / _STEP_S)):
            self.advance(_STEP_S)
