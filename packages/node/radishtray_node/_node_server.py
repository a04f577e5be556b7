"""Server side of the connections from other nodes."""

import logging
from collections.abc import Callable

from radishtray_node._call_result import CallResult
from radishtray_node._incoming_call import IncomingCall
from radishtray_node._metrics import Metrics
from radishtray_node._upstream_server import UpstreamServer
from radishtray_protocol import wire
from radishtray_state import (
    AttemptPhase,
    AttemptTable,
    Clock,
    ConnectionToken,
    RefusalReason,
)
from radishtray_transport import (
    SMALL_BODY_BYTES,
    UNTRACKED_EPOCH,
    MemoryAccount,
    MemoryPriority,
    MemoryPurpose,
    NodeConnection,
)

_LOG = logging.getLogger(__name__)
# Memory that a kept answer takes besides its headers and body.
_ANSWER_OVERHEAD_BYTES = 600
# Memory that a call takes besides its body, with its headers.
_CALL_OVERHEAD_BYTES = 4000
# With a ping every second, 100 busy connections took 6 KB/s of the 14 KB/s for
# control traffic. Answers are kept for at most 30 s even without a pong.
_TICKS_PER_PING = 5
# An untracked connection is closed by its opener after one exchange.
_MAX_UNTRACKED_TICKS = 10

_AttemptKey = tuple[str, int, int]
"""Node id and incarnation of the sender, and its attempt id."""

_StartCall = Callable[[], None]

ControlHandler = Callable[[NodeConnection, wire.Frame], None]


class _Peer:
    """Sender at the other end of an open connection.

    Attributes:
        sender: Node id and incarnation of the sender.
        token: Token of the connection in the attempt table.
        acknowledged_sequence: Latest sequence number that the sender has
            acknowledged with a pong.
    """

    __slots__ = ("acknowledged_sequence", "sender", "token")

    def __init__(
        self, sender: wire.Hello, token: ConnectionToken[wire.Answer]
    ) -> None:
        self.sender = (sender.node_id, sender.incarnation)
        self.token = token
        self.acknowledged_sequence = 0

    def attempt_key(self, attempt_id: int) -> "_AttemptKey":
        """Returns a key that is the same on all connections of the sender."""
        return (*self.sender, attempt_id)


class NodeServer:
    """Serves calls and attempt queries and passes on control frames.

    Only the newest connection of a sender is used; older ones are fenced, which
    means that they are closed and their frames are ignored. Untracked
    connections, which carry only control frames, are not affected by that.
    """

    __slots__ = (
        "_arrived_calls",
        "_attempt_table",
        "_connections_by_token",
        "_control_handler",
        "_memory",
        "_metrics",
        "_peers",
        "_server",
        "_ticks",
        "_unanswered_calls",
        "_untracked_connections",
    )

    def __init__(
        self,
        clock: Clock,
        server: UpstreamServer,
        metrics: Metrics,
        control_handler: ControlHandler,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Creates a server without connections.

        Args:
            clock: Time source.
            server: Runs the calls on the upstream.
            metrics: Metrics of this node.
            control_handler: Receives frames that are neither calls nor queries.
            memory: Account of the memory for calls; None for no limit.
        """
        self._memory = memory
        self._server = server
        self._metrics = metrics
        self._control_handler = control_handler
        self._attempt_table: AttemptTable[wire.Answer] = AttemptTable(clock)
        self._unanswered_calls: dict[_AttemptKey, IncomingCall] = {}
        # Calls of the current read, which start when it has been handled: the
        # cancellation of a call that was held up may arrive together with it.
        self._arrived_calls: dict[_AttemptKey, _StartCall] = {}
        self._peers: dict[NodeConnection, _Peer] = {}
        # Values are the ticks at which they were opened.
        self._untracked_connections: dict[NodeConnection, int] = {}
        self._ticks = 0
        self._connections_by_token: dict[
            ConnectionToken[wire.Answer], NodeConnection
        ] = {}

    def connection_ready(self, connection: NodeConnection) -> None:
        """Registers a connection and fences the older one of its sender."""
        peer = connection.peer
        assert peer is not None
        if peer.connection_epoch == UNTRACKED_EPOCH:
            self._untracked_connections[connection] = self._ticks
            return
        opened = self._attempt_table.open_connection(
            peer.node_id, peer.incarnation, peer.connection_epoch
        )
        if opened.is_error():
            _LOG.warning(
                "node connection rejected",
                extra={
                    "peer": peer.node_id,
                    "incarnation": peer.incarnation,
                    "epoch": peer.connection_epoch,
                    "reason": opened.error.value,
                },
            )
            self.connection_rejected(opened.error.value)
            connection.abort()
            return
        token = opened.ok
        if token.replaced is not None:
            self._close_fenced(token.replaced)
        self._peers[connection] = _Peer(peer, token)
        self._connections_by_token[token] = connection

    def _close_fenced(self, token: ConnectionToken[wire.Answer]) -> None:
        connection = self._connections_by_token.pop(token, None)
        if connection is not None:
            self._peers.pop(connection, None)
            self.connection_rejected("fenced")
            connection.abort()

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Handles one frame; frames of a fenced connection are ignored."""
        if connection in self._untracked_connections:
            self._control_handler(connection, frame)
            return
        peer = self._peers.get(connection)
        if peer is None:
            return
        if frame.call is not None:
            self._handle_call(peer, frame.call)
        elif frame.cancel is not None:
            self._handle_cancel(peer, frame.cancel.attempt_id)
        elif frame.attempt_query is not None:
            self._handle_query(connection, peer, frame.attempt_query)
        else:
            self._control_handler(connection, frame)

    def _handle_call(self, peer: _Peer, call: wire.Call) -> None:
        attempt_id = call.attempt_id
        token = peer.token
        if not self._attempt_table.accept(token, attempt_id):
            self.connection_rejected("duplicate_attempt")
            return

        key = peer.attempt_key(attempt_id)

        if not self._take_memory(key, call):
            result = CallResult.refused(RefusalReason.QUEUE_FULL)
            self._server.metrics.count_refusal(RefusalReason.QUEUE_FULL)
            self._send_answer(token, attempt_id, result, 0, call.kind)
            return

        def done(result: CallResult, retries: int) -> None:
            self._unanswered_calls.pop(key, None)
            if self._memory is not None:
                self._memory.release(key)
            self._send_answer(token, attempt_id, result, retries, call.kind)

        def start() -> None:
            incoming = self._server.serve(call, done)
            if incoming.is_unanswered:
                self._unanswered_calls[key] = incoming

        self._arrived_calls[key] = start

    def _take_memory(self, key: _AttemptKey, call: wire.Call) -> bool:
        """Returns whether there is memory for a call."""
        size = len(call.body)
        return self._memory is None or self._memory.try_take(
            key,
            size + _CALL_OVERHEAD_BYTES,
            MemoryPurpose.NODE_CALLS,
            MemoryPriority.LARGE
            if size > SMALL_BODY_BYTES
            else MemoryPriority.MINIMAL,
        )

    def read_finished(self, connection: NodeConnection) -> None:
        """Starts the calls that have arrived and were not cancelled."""
        arrived, self._arrived_calls = self._arrived_calls, {}
        for start in arrived.values():
            start()

    def _send_answer(
        self,
        token: ConnectionToken[wire.Answer],
        attempt_id: int,
        result: CallResult,
        retries: int,
        kind: str,
    ) -> None:
        answer = self._server.build_answer(attempt_id, result, retries, kind)
        size = len(answer.body) + _ANSWER_OVERHEAD_BYTES
        current = self._attempt_table.finish(token, attempt_id, answer, size)
        connection = (
            self._connections_by_token.get(current) if current else None
        )
        if connection is not None:
            connection.send(wire.Frame(answer=answer))

    def _handle_cancel(self, peer: _Peer, attempt_id: int) -> None:
        if self._attempt_table.cancel(peer.token, attempt_id):
            key = peer.attempt_key(attempt_id)
            if self._arrived_calls.pop(key, None):
                if self._memory is not None:
                    self._memory.release(key)
                result = CallResult.refused(RefusalReason.CANCELLED_QUEUED)
                self._send_answer(peer.token, attempt_id, result, 0, "")
                return
            call = self._unanswered_calls.get(key)
            if call is not None:
                call.cancel()
            return
        # The cancel arrived before the call. The attempt table rejects the call
        # from now on.
        result = CallResult.refused(RefusalReason.NEVER_ARRIVED)
        connection = self._connections_by_token.get(peer.token)
        state = self._attempt_table.query(peer.token, [attempt_id])
        if connection and state and state[0].phase is AttemptPhase.NEVER_SEEN:
            answer = self._server.build_answer(attempt_id, result, 0)
            connection.send(wire.Frame(answer=answer))

    def _handle_query(
        self, connection: NodeConnection, peer: _Peer, query: wire.AttemptQuery
    ) -> None:
        """Replies with one frame for each state.

        Together, the kept answers may exceed the size limit of a frame.
        """
        for state in self._attempt_table.query(peer.token, query.attempt_ids):
            reply = wire.AttemptState(
                attempt_id=state.attempt_id,
                phase=_WIRE_PHASES[state.phase],
                answer=state.answer,
            )
            states = wire.AttemptStates(states=[reply])
            connection.send(wire.Frame(attempt_states=states))

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Drops the kept answers that the sender has acknowledged."""
        peer = self._peers.get(connection)
        if peer is not None:
            peer.acknowledged_sequence = sequence
            self._attempt_table.acknowledge(peer.token, sequence)

    def connection_rejected(self, reason: str) -> None:
        """Counts a rejected connection or frame under its reason."""
        self._metrics.rejected_connections.labels(reason).inc()

    def connection_lost(self, connection: NodeConnection) -> None:
        """Removes a connection; calls that arrived on it continue."""
        self._untracked_connections.pop(connection, None)
        peer = self._peers.pop(connection, None)
        if peer is not None:
            self._connections_by_token.pop(peer.token, None)
            self._attempt_table.close_connection(peer.token)

    def connection_failed(
        self, connection: NodeConnection, *, is_refused: bool
    ) -> None:
        """Does nothing: the accepting side opens no connections."""

    def tick(self) -> None:
        """Drops old answers and pings senders to acknowledge newer ones.

        To be called about once a second.
        """
        self._attempt_table.expire()
        self._ticks += 1
        self._close_old_untracked_connections()
        if self._ticks % _TICKS_PER_PING:
            return
        for connection, peer in self._peers.items():
            answered = peer.token.answer_count
            if answered != peer.acknowledged_sequence:
                connection.ping(answered)

    def _close_old_untracked_connections(self) -> None:
        """Closes those whose opener has gone without closing them."""
        for connection, opened in list(self._untracked_connections.items()):
            if self._ticks - opened > _MAX_UNTRACKED_TICKS:
                connection.abort()


_WIRE_PHASES = {
    AttemptPhase.NEVER_SEEN: wire.AttemptPhase.NEVER_SEEN,
    AttemptPhase.RUNNING: wire.AttemptPhase.RUNNING,
    AttemptPhase.DONE: wire.AttemptPhase.DONE,
    AttemptPhase.FORGOTTEN: wire.AttemptPhase.FORGOTTEN,
}
