"""A Twisted reactor with simulated time and in-memory TCP and UDP.

Faults can be set for each end of a connection. A `MemoryProcess` is the reactor
of one process on the network, which can be paused and killed.
"""

import socket
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import (
    AlreadyCalled,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.interfaces import (
    IDelayedCall,
    IPushProducer,
    IReactorTime,
    ITCPTransport,
)
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from zope.interface import implementer

_STEP_S = 0.005
_HOST = "127.0.0.1"
_DATAGRAM_DELAY_S = 0.001
# One idle second, and one until a probe counts as unanswered.
_KEEP_ALIVE_S = 2.0
_KEEP_ALIVE_STEP_S = 0.25
_FLUSH_INTERVAL_S = 0.01


class _HeldData:
    """Data that arrives at a transport as one read when it is called.

    Attributes:
        data: The bytes.
    """

    __slots__ = ("_receiver", "data")

    def __init__(self, receiver: "MemoryTransport", data: bytes) -> None:
        self._receiver = receiver
        self.data = data

    def __call__(self) -> None:
        self._receiver.receive(self.data)


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
        max_flush_bytes: Most bytes of the send buffer that are sent at once,
            every 0.01 s; None for no limit.
        protocol: The protocol at this end.
        dataBuffer: Bytes that a test states to be unsent; they are not sent.
        offset: Bytes of them that have been sent.
    """

    def __init__(
        self,
        network: "MemoryNetwork",
        port: int,
        process: "MemoryProcess | None" = None,
    ) -> None:
        """Creates an end that is not connected.

        Args:
            network: Reactor that runs the deliveries.
            port: Port of the listener, which both addresses name.
            process: Process that owns this end; None if it is never paused or
                killed.
        """
        self.connected = False
        self.disconnecting = False
        self.is_silent = False
        self.holds_back = False
        self.delay_s = 0.0
        self.max_write_some_bytes: int | None = None
        self.max_flush_bytes: int | None = None
        self.protocol: Any = None
        self.dataBuffer = b""
        self.offset = 0
        self._network = network
        self._process = process
        self._reactor: Any = process or network
        self._address = IPv4Address("TCP", _HOST, port)
        self._peer: MemoryTransport | None = None
        self._send_buffer = b""
        self._received_while_paused: list[Callable[[], None]] = []
        self._is_paused = False
        self._held: list[Callable[[], None]] = []
        self._pull_producer: Any = None
        self._last_arrival_s = 0.0

    @property
    def process(self) -> "MemoryProcess | None":
        """The process that owns this end, if there is one."""
        return self._process

    @property
    def _tempDataLen(self) -> int:
        return len(self._send_buffer)

    def connect_to(self, peer: "MemoryTransport") -> None:
        """Connects this end and the peer to each other."""
        self._peer, peer._peer = peer, self
        self.connected = peer.connected = True

    def write(self, data: bytes) -> None:
        """Buffers data until the next iteration of the event loop."""
        if not self._send_buffer:
            self._reactor.callLater(0, self._flush)
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
        size = self.max_flush_bytes or len(self._send_buffer)
        data = self._send_buffer[:size]
        self._send_buffer = self._send_buffer[size:]
        if data:
            self._send(data)
        if self._send_buffer and self.connected:
            self._reactor.callLater(_FLUSH_INTERVAL_S, self._flush)
            return
        if self._pull_producer is not None and self.connected:
            self._pull_producer.resumeProducing()
        if self.disconnecting and not self._send_buffer:
            self._close(is_reset=False)

    def _send(self, data: bytes) -> None:
        peer = self._peer
        if not self.connected or peer is None:
            return
        if not self.holds_back or self.is_silent:
            self._carry(lambda: peer.receive(data))
        elif self._held and isinstance(self._held[-1], _HeldData):
            self._held[-1].data += data
        else:
            self._held.append(_HeldData(peer, data))

    def _carry(self, arrive: Callable[[], None]) -> None:
        """Schedules an arrival at the peer, in order, subject to the faults."""
        if self.is_silent or self._peer is None:
            return
        if self.holds_back:
            self._held.append(arrive)
            return
        now_s = self._network.seconds()
        self._last_arrival_s = max(now_s + self.delay_s, self._last_arrival_s)
        self._network.callLater(
            self._last_arrival_s - now_s, _run_in, self._peer.process, arrive
        )

    def release(self) -> None:
        """Sends what was held, its data as one read, and stops holding."""
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
            self._reactor.callLater(0, self._flush)

    def abortConnection(self) -> None:
        """Resets the connection at once."""
        self._close(is_reset=True)

    def break_connection(self) -> None:
        """Simulates a reset by the network, which both ends receive."""
        peer = self._peer
        for end in (self, peer):
            if end is not None:
                _run_in(end.process, end.handle_peer_reset)

    def handle_process_end(self, *, is_reset: bool) -> None:
        """Closes the connection as the operating system does for a process.

        Args:
            is_reset: Whether the peer receives a reset instead of an orderly
                close.
        """
        self._close(is_reset=is_reset)

    def _close(self, *, is_reset: bool) -> None:
        peer = self._peer
        if self.connected and peer is not None:
            self._carry(
                peer.handle_peer_reset if is_reset else peer.handle_peer_close
            )
            self.connected = False
            self.disconnecting = True
            self._reactor.callLater(
                0, self._report_connection_lost, ConnectionDone()
            )

    def _end_connection(self, reason: Exception) -> None:
        if self.connected:
            self.connected = False
            self._report_connection_lost(reason)

    def _report_connection_lost(self, reason: Exception) -> None:
        if self.protocol is not None:
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
        """Has a pull producer write whenever the send buffer is empty.

        Push producers are never paused, since the send buffer is unbounded.
        """
        if not streaming:
            self._pull_producer = producer
            self._pull_producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """Ends the writes of a pull producer."""
        self._pull_producer = None

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing: no Nagle's algorithm is simulated."""

    def getHandle(self) -> "_MemorySocket":
        """Returns the socket, on which keep-alive can be enabled."""
        return _MemorySocket(self)

    def keep_alive(self, left_s: float) -> None:
        """Ends the connection once either end is silent for long enough.

        Args:
            left_s: Seconds of silence that are left until then.
        """
        if not self.connected:
            return
        is_silent = self.is_silent or (
            self._peer is not None and self._peer.is_silent
        )
        if is_silent and left_s <= 0:
            _run_in(self._process, self.handle_peer_reset)
            return
        left_s = left_s - _KEEP_ALIVE_STEP_S if is_silent else _KEEP_ALIVE_S
        self._network.callLater(_KEEP_ALIVE_STEP_S, self.keep_alive, left_s)

    def getPeer(self) -> IPv4Address:
        """Returns the listener's address, for either end of the connection."""
        return self._address

    def getHost(self) -> IPv4Address:
        """Returns the listener's address, for either end of the connection."""
        return self._address


class _MemorySocket:
    """Options of the socket of a `MemoryTransport`."""

    def __init__(self, transport: MemoryTransport) -> None:
        self._transport = transport

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Starts the probes of keep-alive; other options have no effect."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_KEEPALIVE):
            self._transport.keep_alive(_KEEP_ALIVE_S)


class _ListeningPort:
    """A TCP port that accepts connections."""

    def __init__(
        self, network: "MemoryNetwork", port: int, factory: Any
    ) -> None:
        self._network = network
        self._port = port
        self._factory = factory

    def getHost(self) -> IPv4Address:
        """Returns the listener's address."""
        return IPv4Address("TCP", _HOST, self._port)

    def stopListening(self) -> None:
        """Closes the listener."""
        self._network.listener_factories.pop(self._port, None)

    def close_if_current(self) -> None:
        """Closes the listener unless its port was opened again since."""
        if self._network.listener_factories.get(self._port) is self._factory:
            self.stopListening()


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
        self,
        network: "MemoryNetwork",
        port: int,
        protocol: Any,
        process: "MemoryProcess | None",
    ) -> None:
        self._network = network
        self.port = port
        self.protocol = protocol
        self.process = process

    def getHost(self) -> IPv4Address:
        """Returns the socket's address."""
        return IPv4Address("UDP", _HOST, self.port)

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram; it is lost if no socket is open at the address."""
        delay_s = self._network.datagram_delay(self.port, address[1])
        if delay_s is not None:
            self._network.callLater(
                delay_s,
                self._network.deliver_datagram,
                data,
                self.port,
                address[1],
            )

    def stopListening(self) -> None:
        """Closes the socket."""
        self._network.datagram_ports.pop(self.port, None)

    def close_if_current(self) -> None:
        """Closes the socket unless its port was opened again since."""
        if self._network.datagram_ports.get(self.port) is self:
            self.stopListening()


class MemoryNetwork(Clock):
    """A reactor with simulated time and in-memory TCP and UDP.

    Attributes:
        listener_factories: Protocol factories of TCP listeners by port.
        connections: Client end and server end of every TCP connection that was
            opened, by the listener's port, oldest first.
        silent_ports: TCP ports whose new connections open with `is_silent` set
            at both ends.
        datagram_ports: UDP sockets by port.
        datagram_delay: Returns the delay in seconds of a datagram from one port
            to another; None if it is lost.
        connect_delay: Returns the time in seconds until a process's connection
            to a port is accepted or refused.
        on_connection: Called with both ends of each new TCP connection before
            they are used.
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
        self.datagram_delay: Callable[[int, int], float | None] = (
            lambda _source_port, _target_port: _DATAGRAM_DELAY_S
        )
        self.connect_delay: Callable[[int], float] = lambda _port: 0.0
        self.on_connection: Callable[
            [MemoryTransport, MemoryTransport], None
        ] = lambda _client_end, _server_end: None
        self._listener_processes: dict[int, MemoryProcess | None] = {}
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
        return self.open_datagram_port(port, protocol, None)

    def open_datagram_port(
        self, port: int, protocol: Any, process: "MemoryProcess | None"
    ) -> _DatagramPort:
        """Opens a UDP socket of a process."""
        if not port:
            self._last_port += 1
            port = self._last_port
        datagram_port = _DatagramPort(self, port, protocol, process)
        self.datagram_ports[port] = datagram_port
        protocol.makeConnection(datagram_port)
        return datagram_port

    def deliver_datagram(
        self, data: bytes, source_port: int, target_port: int
    ) -> None:
        """Passes a datagram to the socket at its target port, if any."""
        datagram_port = self.datagram_ports.get(target_port)
        if datagram_port is not None:
            protocol = datagram_port.protocol
            _run_in(
                datagram_port.process,
                lambda: protocol.datagramReceived(data, (_HOST, source_port)),
            )

    def listenTCP(
        self, port: int, factory: Any, backlog: int = 0, interface: str = ""
    ) -> _ListeningPort:
        """Opens a listener; port 0 assigns the next unused port."""
        del backlog, interface
        return self.open_listener(port, factory, None)

    def open_listener(
        self, port: int, factory: Any, process: "MemoryProcess | None"
    ) -> _ListeningPort:
        """Opens a TCP listener of a process."""
        if not port:
            self._last_port += 1
            port = self._last_port
        self.listener_factories[port] = factory
        self._listener_processes[port] = process
        return _ListeningPort(self, port, factory)

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> None:
        """Connects, or reports a refusal, in the next loop iteration."""
        del host, timeout
        self.callLater(0, self.connect, port, factory, None)

    def connect(
        self, port: int, factory: Any, process: "MemoryProcess | None"
    ) -> None:
        """Connects a process to a listener, or reports a refusal to it."""
        if process is not None and process.has_ended:
            return
        listener_factory = self.listener_factories.get(port)
        if listener_factory is None:
            refused = Failure(ConnectionRefusedError())
            _run_in(
                process, lambda: factory.clientConnectionFailed(None, refused)
            )
            return
        server_process = self._listener_processes.get(port)
        client_end = MemoryTransport(self, port, process)
        server_end = MemoryTransport(self, port, server_process)
        client_end.connect_to(server_end)
        client_end.is_silent = server_end.is_silent = port in self.silent_ports
        for owner, end in ((process, client_end), (server_process, server_end)):
            if owner is not None:
                owner.own(end)
        self.connections.setdefault(port, []).append((client_end, server_end))
        self.on_connection(client_end, server_end)
        _run_in(
            server_process,
            lambda: self._accept(listener_factory, client_end, server_end),
        )
        _run_in(process, lambda: self._open_client_end(factory, client_end))

    def _accept(
        self,
        factory: Any,
        client_end: MemoryTransport,
        server_end: MemoryTransport,
    ) -> None:
        protocol = factory.buildProtocol(client_end.getPeer())
        if protocol is None:
            server_end.connected = False
            self.callLater(
                0, _run_in, client_end.process, client_end.handle_peer_close
            )
            return
        server_end.protocol = protocol
        protocol.makeConnection(server_end)

    @staticmethod
    def _open_client_end(factory: Any, client_end: MemoryTransport) -> None:
        client_end.protocol = factory.buildProtocol(client_end.getPeer())
        client_end.protocol.factory = factory
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

    def run_exactly(self, seconds: float) -> None:
        """Advances simulated time from one due call to the next.

        Unlike with `run`, each call runs at the time for which it is scheduled.
        """
        end_s = self.seconds() + seconds
        while self.calls and self.calls[0].getTime() <= end_s:
            self.advance(max(0.0, self.calls[0].getTime() - self.seconds()))
        self.advance(max(0.0, end_s - self.seconds()))


def _run_in(
    process: "MemoryProcess | None", action: Callable[[], None]
) -> None:
    """Runs an action in its process, or at once if it has none."""
    if process is None:
        action()
    else:
        process.run_or_queue(action)


@implementer(IDelayedCall)
class _ProcessCall:
    """A delayed call of a process; a paused process runs it on resume."""

    def __init__(
        self,
        process: "MemoryProcess",
        delay_s: float,
        action: Callable[[], None],
    ) -> None:
        self._process = process
        self._action = action
        self._is_active = True
        self._network_call = process.network.callLater(delay_s, self._fall_due)

    def _fall_due(self) -> None:
        self._process.run_or_queue(self._run, is_timer=True)

    def _run(self) -> None:
        if self._is_active:
            self._is_active = False
            self._action()

    def getTime(self) -> float:
        """Returns the time in seconds for which the call is scheduled."""
        return float(self._network_call.getTime())

    def cancel(self) -> None:
        """Cancels the call.

        Raises:
            AlreadyCalled: If it has run or was cancelled.
        """
        if not self._is_active:
            raise AlreadyCalled
        self._is_active = False
        if self._network_call.active():
            self._network_call.cancel()

    def delay(self, delay_s: float) -> None:
        """Postpones the call by some seconds."""
        self._network_call.delay(delay_s)

    def reset(self, delay_s: float) -> None:
        """Schedules the call anew, some seconds from now."""
        self._network_call.reset(delay_s)

    def active(self) -> bool:
        """Returns whether the call has not run and was not cancelled."""
        return self._is_active


@implementer(IReactorTime)
class MemoryProcess:
    """The reactor of one process on a memory network.

    While the process is paused, time goes on and the operating system still
    accepts connections, data and datagrams for it.

    Attributes:
        network: The network, which runs the events of all processes.
        has_ended: Whether the process was killed.
        is_paused: Whether the process is paused.
    """

    def __init__(self, network: "MemoryNetwork") -> None:
        """Starts a process without sockets."""
        self.network = network
        self.has_ended = False
        self.is_paused = False
        self._queued: list[tuple[bool, Callable[[], None]]] = []
        self._transports: list[MemoryTransport] = []
        self._listening_ports: list[_ListeningPort] = []
        self._datagram_ports: list[_DatagramPort] = []

    def seconds(self) -> float:
        """Returns simulated seconds."""
        return float(self.network.seconds())

    def callLater(
        self,
        delay: float,
        callable: Callable[..., Any],
        *args: object,
        **kwargs: object,
    ) -> IDelayedCall:
        """Schedules a call, which is dropped if the process has ended."""
        return _ProcessCall(self, delay, partial(callable, *args, **kwargs))

    def getDelayedCalls(self) -> list[IDelayedCall]:
        """Returns an empty list; the code under test does not use it."""
        return []

    def listenTCP(
        self, port: int, factory: Any, backlog: int = 0, interface: str = ""
    ) -> _ListeningPort:
        """Opens a listener; port 0 assigns the next unused port."""
        del backlog, interface
        listening = self.network.open_listener(port, factory, self)
        self._listening_ports.append(listening)
        return listening

    def listenUDP(
        self, port: int, protocol: Any, interface: str = "", **options: int
    ) -> _DatagramPort:
        """Opens a UDP socket; port 0 assigns the next unused port."""
        del interface, options
        datagram_port = self.network.open_datagram_port(port, protocol, self)
        self._datagram_ports.append(datagram_port)
        return datagram_port

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> None:
        """Connects, or reports a refusal, after the network's delay."""
        del host, timeout
        delay_s = self.network.connect_delay(port)
        self.network.callLater(
            delay_s, self.network.connect, port, factory, self
        )

    def own(self, transport: MemoryTransport) -> None:
        """Adds an end of a connection, which closes when the process ends."""
        self._transports = [end for end in self._transports if end.connected]
        self._transports.append(transport)

    def run_or_queue(
        self, action: Callable[[], None], *, is_timer: bool = False
    ) -> None:
        """Runs an action now, unless the process is paused or has ended.

        A paused process runs it on resume; an ended one drops it.
        """
        if self.has_ended:
            return
        if self.is_paused:
            self._queued.append((is_timer, action))
        else:
            action()

    def pause(self) -> None:
        """Pauses the process until `resume`."""
        self.is_paused = True

    def resume(self, *, timers_first: bool = False) -> None:
        """Continues the process and handles what has happened meanwhile.

        Args:
            timers_first: Whether delayed calls that fell due run before data
                and connections are processed; otherwise after them.
        """
        self.is_paused = False
        queued, self._queued = self._queued, []
        for runs_timers in (timers_first, not timers_first):
            for is_timer, action in queued:
                if is_timer == runs_timers:
                    self.run_or_queue(action)

    def kill(self) -> None:
        """Ends the process; the operating system closes its sockets.

        A connection with data that the process has not read is reset.
        """
        if self.has_ended:
            return
        has_unread_data = bool(self._queued)
        self.has_ended = True
        self._queued.clear()
        for listening in self._listening_ports:
            listening.close_if_current()
        for datagram_port in self._datagram_ports:
            datagram_port.close_if_current()
        for transport in self._transports:
            transport.handle_process_end(is_reset=has_unread_data)
