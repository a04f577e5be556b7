"""Authenticated, multiplexed Thrift connections between nodes.

A node opens one connection to each node that it sends to. Both sides send
Hello, then Proof: an HMAC over both hellos and the sender's side, so that a
proof can be neither replayed nor reflected. No other frame is read before the
peer's proof has been verified.
"""

import logging
import secrets
from typing import Protocol as TypingProtocol

from twisted.internet.interfaces import (
    IDelayedCall,
    IListeningPort,
    IReactorTCP,
    IReactorTime,
)
from twisted.internet.protocol import (
    ClientFactory,
    Factory,
    Protocol,
    connectionDone,
)
from twisted.python.failure import Failure

from radishtray_protocol import (
    DEFAULT_MAX_FRAME_BYTES,
    FrameDecoder,
    FrameError,
    encode_frame,
    encode_struct,
    wire,
)
from radishtray_transport._direct_writer import DirectWriter

_LOG = logging.getLogger(__name__)
_NONCE_BYTES = 16
_OPENING_SIDE = b"opening"
_ACCEPTING_SIDE = b"accepting"
_HANDSHAKE_TIMEOUT_S = 5.0
_HANDSHAKE_MAX_FRAME_BYTES = 4096


class Signer(TypingProtocol):
    """Signs and verifies with the cluster keys."""

    def sign(self, *parts: bytes) -> tuple[str, bytes]:
        """Returns the key id and the tag."""
        ...

    def verify(self, key_id: str, tag: bytes, *parts: bytes) -> bool:
        """Returns whether the tag is valid."""
        ...

    @property
    def key_ids(self) -> tuple[str, ...]:
        """Ids of all keys, the signing one first."""
        ...


class NodeIdentity:
    """Who this process is towards other nodes.

    Attributes:
        node_id: Name of the node.
        incarnation: Higher for each later process of the same node.
    """

    __slots__ = ("incarnation", "node_id")

    def __init__(self, node_id: str, incarnation: int) -> None:
        """Holds the identity.

        Raises:
            ValueError: If the node id is empty or the incarnation not positive.
        """
        if not node_id or incarnation <= 0:
            raise ValueError(f"invalid identity {node_id!r}, {incarnation}")
        self.node_id = node_id
        self.incarnation = incarnation


class NodeConnection(Protocol):
    """One side of a connection, after `on_ready` authenticated.

    Attributes:
        peer: The peer's hello, once it has been verified.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        identity: NodeIdentity,
        epoch: int,
        signer: Signer,
        is_opening: bool,
        events: "ConnectionEvents",
        max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES,
    ) -> None:
        """Prepares one side of a connection.

        Args:
            reactor: Source of time.
            identity: This node.
            epoch: Number of this connection; zero on the accepting side.
            signer: Cluster keys.
            is_opening: Whether this side opened the connection.
            events: Receives what happens on the connection.
            max_frame_bytes: Longest accepted frame.
        """
        self.peer: wire.Hello | None = None
        self._reactor = reactor
        self._signer = signer
        self._is_opening = is_opening
        self._events = events
        self._max_frame_bytes = max_frame_bytes
        self._hello = wire.Hello(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            nonce=secrets.token_bytes(_NONCE_BYTES),
            connection_epoch=epoch,
            key_ids=list(signer.key_ids),
        )
        self._decoder = FrameDecoder(_HANDSHAKE_MAX_FRAME_BYTES)
        self._handle = self._receive_hello
        self._peer_hello: wire.Hello | None = None
        self._timer: IDelayedCall | None = None
        self._is_lost = False

    @property
    def epoch(self) -> int:
        """Number of this connection at the node that opened it."""
        return int(self._hello.connection_epoch)

    @property
    def is_ready(self) -> bool:
        """Whether the peer has been verified and the connection is open."""
        return self.peer is not None and not self._is_lost

    def connectionMade(self) -> None:
        """Sends the hello and starts the time limit of the handshake."""
        self.transport.setTcpNoDelay(True)
        self._writer = DirectWriter(self.transport)
        self._timer = self._reactor.callLater(
            _HANDSHAKE_TIMEOUT_S, self._reject, "handshake_timeout"
        )
        self.send(wire.Frame(hello=self._hello))

    def send(self, frame: wire.Frame) -> None:
        """Hands a frame to the socket."""
        self._writer.write(encode_frame(frame))

    def dataReceived(self, data: bytes) -> None:
        """Decodes and handles received frames."""
        try:
            self._decoder.feed(data, self._dispatch)
        except FrameError as error:
            _LOG.warning("rejected frame", extra={"error": str(error)})
            self._reject(f"frame_{error.reason}")

    def _dispatch(self, frame: wire.Frame) -> None:
        if not self._is_lost:
            self._handle(frame)

    def _receive_hello(self, frame: wire.Frame) -> None:
        hello = frame.hello
        if hello is None or len(hello.nonce) != _NONCE_BYTES:
            self._reject("handshake_invalid")
            return
        self._peer_hello = hello
        side = _OPENING_SIDE if self._is_opening else _ACCEPTING_SIDE
        key_id, tag = self._signer.sign(self._transcript(side))
        self.send(wire.Frame(proof=wire.Proof(key_id=key_id, tag=tag)))
        self._handle = self._receive_proof

    def _transcript(self, side: bytes) -> bytes:
        own = encode_struct(self._hello)
        peer = encode_struct(self._peer_hello)
        opening, accepting = (own, peer) if self._is_opening else (peer, own)
        return side + opening + accepting

    def _receive_proof(self, frame: wire.Frame) -> None:
        proof = frame.proof
        side = _ACCEPTING_SIDE if self._is_opening else _OPENING_SIDE
        if proof is None or not self._signer.verify(
            proof.key_id, proof.tag, self._transcript(side)
        ):
            self._reject("handshake_unauthenticated")
            return
        self._cancel_timer()
        self._decoder.max_frame_bytes = self._max_frame_bytes
        self.peer = self._peer_hello
        self._handle = self._receive_message
        self._events.connection_ready(self)

    def _receive_message(self, frame: wire.Frame) -> None:
        if frame.ping is not None:
            pong = wire.Pong(sequence=frame.ping.sequence)
            self.send(wire.Frame(pong=pong))
        elif frame.pong is not None:
            self._events.pong_received(self, frame.pong.sequence)
        else:
            self._events.frame_received(self, frame)

    def ping(self, sequence: int) -> None:
        """Asks the peer for a sign of life."""
        self.send(wire.Frame(ping=wire.Ping(sequence=sequence)))

    def close(self) -> None:
        """Closes after what has been written is sent."""
        self._cancel_timer()
        if self.transport is not None:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Closes at once; frames that arrive later are not handled."""
        self._is_lost = True
        self._cancel_timer()
        if self.transport is not None:
            self.transport.abortConnection()

    def _reject(self, reason: str) -> None:
        self._events.connection_rejected(reason)
        self.abort()

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports the end of the connection."""
        self._is_lost = True
        self._cancel_timer()
        self._events.connection_lost(self)


class ConnectionEvents(TypingProtocol):
    """Receives what happens on node connections."""

    def connection_ready(self, connection: NodeConnection) -> None:
        """The peer has been verified."""
        ...

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """A frame arrived from a verified peer."""
        ...

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """The peer has read everything sent before the ping."""
        ...

    def connection_rejected(self, reason: str) -> None:
        """The connection is aborted for the counted reason."""
        ...

    def connection_lost(self, connection: NodeConnection) -> None:
        """The connection is closed."""
        ...

    def connection_failed(self) -> None:
        """A connection could not be opened."""
        ...


class _OpeningFactory(ClientFactory):
    noisy = False

    def __init__(
        self, connection: NodeConnection, events: ConnectionEvents
    ) -> None:
        self._connection = connection
        self._events = events

    def buildProtocol(self, addr: object) -> NodeConnection:
        return self._connection

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self._events.connection_failed()


def open_node_connection(
    reactor: IReactorTCP,
    address: tuple[str, int],
    identity: NodeIdentity,
    epoch: int,
    signer: Signer,
    events: ConnectionEvents,
    timeout_s: float = 3.0,
) -> NodeConnection:
    """Opens a connection to another node.

    Args:
        reactor: The Twisted reactor.
        address: IP address and port of the peer's node listener.
        identity: This node.
        epoch: Number of the connection; higher than that of earlier ones.
        signer: Cluster keys.
        events: Receives what happens on the connection.
        timeout_s: Seconds to wait for the TCP connection.

    Returns:
        The connection, not yet ready.
    """
    connection = NodeConnection(reactor, identity, epoch, signer, True, events)
    reactor.connectTCP(
        *address, _OpeningFactory(connection, events), timeout=timeout_s
    )
    return connection


class NodeListener:
    """Accepts connections from other nodes."""

    __slots__ = (
        "_events",
        "_factory",
        "_identity",
        "_max_connections",
        "_open",
        "_port",
        "_reactor",
        "_signer",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        identity: NodeIdentity,
        signer: Signer,
        events: ConnectionEvents,
        max_connections: int = 8192,
    ) -> None:
        """Prepares a listener that is not yet open."""
        self._reactor = reactor
        self._identity = identity
        self._signer = signer
        self._events = events
        self._max_connections = max_connections
        self._open: set[NodeConnection] = set()
        self._factory = _AcceptingFactory(self)
        self._port: IListeningPort | None = None

    @property
    def port(self) -> int:
        """The TCP port, once started."""
        assert self._port is not None
        return int(self._port.getHost().port)

    def start(self, host: str, port: int) -> None:
        """Opens the listener."""
        self._port = self._reactor.listenTCP(
            port, self._factory, backlog=1024, interface=host
        )

    def close(self) -> None:
        """Stops accepting and closes all connections once they are flushed."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        for connection in list(self._open):
            connection.close()

    def accept(self) -> NodeConnection | None:
        """Creates the protocol of an accepted connection, if there is room."""
        if len(self._open) >= self._max_connections:
            self._events.connection_rejected("too_many_connections")
            return None
        connection = NodeConnection(
            self._reactor, self._identity, 0, self._signer, False, self
        )
        self._open.add(connection)
        return connection

    def connection_ready(self, connection: NodeConnection) -> None:
        """Passes the event on."""
        self._events.connection_ready(connection)

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Passes the event on."""
        self._events.frame_received(connection, frame)

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Passes the event on."""
        self._events.pong_received(connection, sequence)

    def connection_rejected(self, reason: str) -> None:
        """Passes the event on."""
        self._events.connection_rejected(reason)

    def connection_lost(self, connection: NodeConnection) -> None:
        """Forgets the connection and passes the event on."""
        self._open.discard(connection)
        self._events.connection_lost(connection)

    def connection_failed(self) -> None:
        """Does not occur on the accepting side."""


class _AcceptingFactory(Factory):
    noisy = False

    def __init__(self, listener: NodeListener) -> None:
        self._listener = listener

    def buildProtocol(self, addr: object) -> NodeConnection | None:
        return self._listener.accept()
