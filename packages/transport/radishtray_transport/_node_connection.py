"""Authenticated, multiplexed Thrift connections between nodes.

A node opens one connection to each node that it sends to. In the handshake,
both sides send Hello, which has a random nonce, and then Proof: an HMAC over
both hellos and the role of its sender, so that a proof can be neither replayed
nor reflected. No other frame is handled before the peer's proof is verified.
"""

import logging
import secrets
from typing import Protocol as TypingProtocol

from twisted.internet.error import ConnectionRefusedError
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
    encode_frame_parts,
    encode_struct,
    wire,
)
from radishtray_transport._frame_compression import (
    CompressionTotals,
    FrameCompressor,
    FrameDecompressor,
)
from radishtray_transport._memory_account import (
    SMALL_BODY_BYTES,
    MemoryAccount,
    MemoryPurpose,
)
from radishtray_transport._piece_writer import PieceWriter

_LOG = logging.getLogger(__name__)
UNTRACKED_EPOCH = 0
"""Epoch of a connection for control frames only, beside that for calls."""

_NONCE_BYTES = 16
_INITIATOR_LABEL = b"opening"
_ACCEPTOR_LABEL = b"accepting"
_HANDSHAKE_TIMEOUT_S = 5.0
_HANDSHAKE_MAX_FRAME_BYTES = 4096


class Signer(TypingProtocol):
    """Computes and verifies HMAC tags with the cluster keys."""

    def sign(self, *parts: bytes) -> tuple[str, bytes]:
        """Returns the id of the signing key and the tag over the parts."""
        ...

    def verify(self, key_id: str, tag: bytes, *parts: bytes) -> bool:
        """Returns whether the tag of the key is valid for the parts."""
        ...

    @property
    def key_ids(self) -> tuple[str, ...]:
        """Ids of all keys, the signing one first."""
        ...


class NodeIdentity:
    """Identity of this process in handshakes with other nodes.

    Attributes:
        node_id: Id of the node.
        incarnation: Number that increases with each restart of the node.
    """

    __slots__ = ("incarnation", "node_id")

    def __init__(self, node_id: str, incarnation: int) -> None:
        """Validates the identity.

        Raises:
            ValueError: If the node id is empty or the incarnation not positive.
        """
        if not node_id or incarnation <= 0:
            raise ValueError(
                "node identity needs a node id and a positive incarnation,"
                f" got {node_id!r} and {incarnation}"
            )
        self.node_id = node_id
        self.incarnation = incarnation


class NodeConnection(Protocol):
    """One side of a connection between two nodes.

    Frames other than those of the handshake are exchanged after
    `ConnectionEvents.connection_ready`.

    Attributes:
        peer: The peer's hello; None until its proof is verified.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        identity: NodeIdentity,
        epoch: int,
        signer: Signer,
        is_initiator: bool,
        events: "ConnectionEvents",
        max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES,
        compression: CompressionTotals | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Creates the protocol of a connection that is not yet open.

        Args:
            reactor: Source of time.
            identity: Identity of this process.
            epoch: Number of the connection at the node that opens it, or
                `UNTRACKED_EPOCH`; zero on the accepting side.
            signer: Cluster keys.
            is_initiator: Whether this side opens the connection.
            events: Receives the events of the connection.
            max_frame_bytes: Maximum size of a received frame after the
                handshake.
            compression: Totals of compressed bytes; None if this side neither
                reads nor sends compressed frames.
            memory: Account of the memory for incomplete and unsent frames; None
                for no limit.
        """
        self._memory = memory
        self.peer: wire.Hello | None = None
        self._reactor = reactor
        self._signer = signer
        self._is_initiator = is_initiator
        self._events = events
        self._max_frame_bytes = max_frame_bytes
        self._compression = compression
        # None until the peer has stated that it reads compressed frames.
        self._compressor: FrameCompressor | None = None
        self._decompressor: FrameDecompressor | None = None
        self._hello = wire.Hello(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            nonce=secrets.token_bytes(_NONCE_BYTES),
            connection_epoch=epoch,
            key_ids=list(signer.key_ids),
        )
        self._decoder = FrameDecoder(_HANDSHAKE_MAX_FRAME_BYTES)
        self._frame_handler = self._handle_hello
        self._peer_hello: wire.Hello | None = None
        self._handshake_timer: IDelayedCall | None = None
        self._is_closed = False

    @property
    def epoch(self) -> int:
        """Number of this connection at the node that opened it, else zero."""
        return int(self._hello.connection_epoch)

    @property
    def incarnation(self) -> int:
        """Incarnation that this side stated in the handshake."""
        return int(self._hello.incarnation)

    @property
    def is_ready(self) -> bool:
        """Whether the peer is verified and the connection is open."""
        return self.peer is not None and not self._is_closed

    @property
    def has_sent_proof(self) -> bool:
        """Whether the peer may by now treat the connection as ready."""
        return self._peer_hello is not None

    def connectionMade(self) -> None:
        """Sends the hello and starts the handshake timeout.

        A connection that was closed while it was being opened is aborted.
        """
        if self._is_closed:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self._writer = PieceWriter(self.transport, self._count_unsent_frames)
        self._handshake_timer = self._reactor.callLater(
            _HANDSHAKE_TIMEOUT_S, self._reject, "handshake_timeout"
        )
        self.send(wire.Frame(hello=self._hello))

    def send(self, frame: wire.Frame) -> None:
        """Encodes and sends a frame, compressed if the peer reads that."""
        parts = encode_frame_parts(frame)
        if self._compressor is not None and len(parts) == 1:
            parts = [self._compressor.compress(parts[0])]
        for part in parts:
            self._writer.write(part)

    def dataReceived(self, data: bytes) -> None:
        """Decodes and handles received frames."""
        try:
            self._decoder.feed(data, self._handle_frame)
        except FrameError as error:
            _LOG.warning(
                "received an invalid frame; closing the node connection",
                extra={"error": str(error)},
            )
            self._reject(f"frame_{error.reason}")
        self._count_incomplete_frame()
        self._events.read_finished(self)

    def _count_incomplete_frame(self) -> None:
        if self._memory is None:
            return
        size = self._decoder.buffered_bytes
        if size > SMALL_BODY_BYTES:
            self._memory.charge(self._decoder, size, MemoryPurpose.NODE_QUEUES)
        else:
            self._memory.release(self._decoder)

    def _count_unsent_frames(self, size: int) -> None:
        """Counts the frames in the queue; further ones are still accepted.

        The admission of requests and calls bounds them.
        """
        if self._memory is None:
            return
        if size > SMALL_BODY_BYTES:
            purpose = (
                MemoryPurpose.NODE_QUEUES
                if self._is_initiator
                else MemoryPurpose.NODE_ANSWERS
            )
            self._memory.charge(self, size, purpose)
        else:
            self._memory.release(self)

    def _handle_frame(self, frame: wire.Frame) -> None:
        if not self._is_closed:
            self._frame_handler(frame)

    def _handle_hello(self, frame: wire.Frame) -> None:
        hello = frame.hello
        if hello is None or len(hello.nonce) != _NONCE_BYTES:
            self._reject("handshake_invalid")
            return
        self._peer_hello = hello
        label = _INITIATOR_LABEL if self._is_initiator else _ACCEPTOR_LABEL
        key_id, tag = self._signer.sign(self._transcript(label))
        self.send(
            wire.Frame(
                proof=wire.Proof(key_id=key_id, tag=tag),
                # An earlier version ignores the field beside a proof, but would
                # reject a frame that holds nothing else.
                accepts_compression=self._compression is not None or None,
            )
        )
        self._frame_handler = self._handle_proof

    def _transcript(self, label: bytes) -> bytes:
        own = encode_struct(self._hello)
        peer = encode_struct(self._peer_hello)
        initiator_hello, acceptor_hello = (
            (own, peer) if self._is_initiator else (peer, own)
        )
        return label + initiator_hello + acceptor_hello

    def _handle_proof(self, frame: wire.Frame) -> None:
        proof = frame.proof
        label = _ACCEPTOR_LABEL if self._is_initiator else _INITIATOR_LABEL
        if proof is None or not self._signer.verify(
            proof.key_id, proof.tag, self._transcript(label)
        ):
            self._reject("handshake_unauthenticated")
            return
        self._cancel_handshake_timer()
        self._decoder.max_frame_bytes = self._max_frame_bytes
        self.peer = self._peer_hello
        if self._compression is not None and frame.accepts_compression:
            self._compressor = FrameCompressor(self._compression)
        self._frame_handler = self._handle_message
        self._events.connection_ready(self)

    def _handle_message(self, frame: wire.Frame) -> None:
        if frame.compressed is not None:
            self._decompress(frame.compressed)
        elif frame.ping is not None:
            pong = wire.Pong(sequence=frame.ping.sequence)
            self.send(wire.Frame(pong=pong))
        elif frame.pong is not None:
            self._events.pong_received(self, frame.pong.sequence)
        else:
            self._events.frame_received(self, frame)

    def _decompress(self, data: bytes) -> None:
        """Handles the frames in a part of the peer's compressed stream.

        Raises:
            FrameError: If compression was not offered, or if the stream or a
                frame in it is invalid.
        """
        if self._compression is None:
            raise FrameError("unexpected_compression", 0, "was not offered")
        if self._decompressor is None:
            self._decompressor = FrameDecompressor(self._compression)
        self._decompressor.feed(data, self._handle_decompressed)

    def _handle_decompressed(self, frame: wire.Frame) -> None:
        if frame.compressed is not None:
            raise FrameError("nested_compression", 0, "compressed twice")
        self._handle_frame(frame)

    def ping(self, sequence: int) -> None:
        """Sends a ping, which the peer answers with a pong."""
        self.send(wire.Frame(ping=wire.Ping(sequence=sequence)))

    def close(self) -> None:
        """Closes the connection after all written frames are sent."""
        self._cancel_handshake_timer()
        if self.transport is not None:
            self.transport.loseConnection()
        else:
            self._is_closed = True

    def abort(self) -> None:
        """Closes the connection at once; later frames are not handled."""
        self._is_closed = True
        self._cancel_handshake_timer()
        if self.transport is not None:
            self.transport.abortConnection()

    def _reject(self, reason: str) -> None:
        self._events.connection_rejected(reason)
        self.abort()

    def _cancel_handshake_timer(self) -> None:
        if self._handshake_timer is not None and self._handshake_timer.active():
            self._handshake_timer.cancel()
        self._handshake_timer = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports that the connection is closed."""
        self._is_closed = True
        self._cancel_handshake_timer()
        if self._memory is not None:
            self._memory.release(self)
            self._memory.release(self._decoder)
        self._events.connection_lost(self)


class ConnectionEvents(TypingProtocol):
    """Callbacks for the events of node connections."""

    def connection_ready(self, connection: NodeConnection) -> None:
        """The peer was verified, so that frames can be sent."""
        ...

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """A frame other than ping and pong arrived from a verified peer."""
        ...

    def read_finished(self, connection: NodeConnection) -> None:
        """All frames that arrived together were handled."""
        ...

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """The peer answered a ping and so received all frames before it."""
        ...

    def connection_rejected(self, reason: str) -> None:
        """A connection is refused or aborted; `reason` is a metric label."""
        ...

    def connection_lost(self, connection: NodeConnection) -> None:
        """The connection was closed by either side or by a failure."""
        ...

    def connection_failed(
        self, connection: NodeConnection, *, is_refused: bool
    ) -> None:
        """The TCP connection could not be opened.

        Args:
            connection: The connection.
            is_refused: Whether no process listens at the address.
        """
        ...


class _InitiatorFactory(ClientFactory):
    noisy = False

    def __init__(
        self, connection: NodeConnection, events: ConnectionEvents
    ) -> None:
        self._connection = connection
        self._events = events

    def buildProtocol(self, addr: object) -> NodeConnection:
        return self._connection

    def clientConnectionFailed(
        self, connector: object, reason: Failure
    ) -> None:
        self._events.connection_failed(
            self._connection,
            is_refused=reason.check(ConnectionRefusedError) is not None,
        )


def open_node_connection(
    reactor: IReactorTCP,
    address: tuple[str, int],
    identity: NodeIdentity,
    epoch: int,
    signer: Signer,
    events: ConnectionEvents,
    timeout_s: float = 3.0,
    compression: CompressionTotals | None = None,
    memory: MemoryAccount | None = None,
) -> NodeConnection:
    """Opens a connection to another node.

    Args:
        reactor: The Twisted reactor.
        address: IP address and port of the peer's node listener.
        identity: Identity of this process.
        epoch: Number of the connection, higher than that of earlier ones, or
            `UNTRACKED_EPOCH`.
        signer: Cluster keys.
        events: Receives the events of the connection.
        timeout_s: Seconds to wait for the TCP connection.
        compression: Totals of compressed bytes; None to send and read no
            compressed frames.
        memory: Account of the memory for frames; None for no limit.

    Returns:
        The connection, which is not yet open or authenticated.
    """
    connection = NodeConnection(
        reactor,
        identity,
        epoch,
        signer,
        True,
        events,
        memory=memory,
        compression=compression,
    )
    reactor.connectTCP(
        *address, _InitiatorFactory(connection, events), timeout=timeout_s
    )
    return connection


class NodeListener:
    """Accepts connections from other nodes, up to a limit.

    The listener receives the events of its connections, so that it can track
    open ones, and forwards them to `events`.
    """

    __slots__ = (
        "_compression",
        "_connections",
        "_events",
        "_factory",
        "_half_open",
        "_identity",
        "_max_connections",
        "_memory",
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
        compression: CompressionTotals | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Configures a listener; `start` opens it.

        With `compression`, frames are compressed on the connections whose
        opening side offers that. With `memory`, incomplete and unsent frames
        count toward that account.
        """
        self._compression = compression
        self._memory = memory
        self._reactor = reactor
        self._identity = identity
        self._signer = signer
        self._events = events
        self._max_connections = max_connections
        # A dict keeps them in the order in which they were accepted.
        self._connections: dict[NodeConnection, None] = {}
        self._half_open: dict[NodeConnection, None] = {}
        self._factory = _AcceptorFactory(self)
        self._port: IListeningPort | None = None

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """The TCP port of the open listener."""
        assert self._port is not None
        return int(self._port.getHost().port)

    def start(self, host: str, port: int) -> None:
        """Opens the listener."""
        self._port = self._reactor.listenTCP(
            port, self._factory, backlog=1024, interface=host
        )

    def close(self) -> None:
        """Stops accepting; closes connections after sending their frames."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        for connection in list(self._connections):
            connection.close()

    def accept_connection(self) -> NodeConnection | None:
        """Creates the protocol of a new connection, or None at the limit.

        Of those that are not verified, the oldest is closed for a new one
        beyond half of the limit, so that they keep out no node.
        """
        if len(self._half_open) >= max(1, self._max_connections // 2):
            self._events.connection_rejected("too_many_half_open")
            oldest = next(iter(self._half_open))
            del self._half_open[oldest]
            oldest.abort()
        if len(self._connections) >= self._max_connections:
            self._events.connection_rejected("too_many_connections")
            return None
        connection = NodeConnection(
            self._reactor,
            self._identity,
            0,
            self._signer,
            False,
            self,
            compression=self._compression,
            memory=self._memory,
        )
        self._connections[connection] = None
        self._half_open[connection] = None
        return connection

    def connection_ready(self, connection: NodeConnection) -> None:
        """Counts the connection as verified and forwards the event."""
        self._half_open.pop(connection, None)
        self._events.connection_ready(connection)

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Forwards the event."""
        self._events.frame_received(connection, frame)

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Forwards the event."""
        self._events.pong_received(connection, sequence)

    def read_finished(self, connection: NodeConnection) -> None:
        """Forwards the event."""
        self._events.read_finished(connection)

    def connection_rejected(self, reason: str) -> None:
        """Forwards the event."""
        self._events.connection_rejected(reason)

    def connection_lost(self, connection: NodeConnection) -> None:
        """Removes the connection and forwards the event."""
        self._connections.pop(connection, None)
        self._half_open.pop(connection, None)
        self._events.connection_lost(connection)

    def connection_failed(
        self, connection: NodeConnection, *, is_refused: bool
    ) -> None:
        """Does nothing, since a listener opens no connections."""


class _AcceptorFactory(Factory):
    noisy = False

    def __init__(self, listener: NodeListener) -> None:
        self._listener = listener

    def buildProtocol(self, addr: object) -> NodeConnection | None:
        return self._listener.accept_connection()
