"""The receiving side of connections from other nodes."""

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
from radishtray_transport import NodeConnection

_LOG = logging.getLogger(__name__)
# Memory of a kept answer besides its headers and body.
_ANSWER_OVERHEAD_BYTES = 600
# A ping each second on every busy connection took 6 KB/s at 100 of them, of
# the 14 KB/s for control. Answers are kept for 30 s at most anyway.
_TICKS_PER_ACKNOWLEDGEMENT = 5

_CallKey = tuple[str, int, int]
"""Node id, incarnation and attempt id of the sender."""

ControlHandler = Callable[[NodeConnection, wire.Frame], None]


class _Peer:
    """One open connection and its sender."""

    __slots__ = ("acknowledged", "sender", "token")

    def __init__(
        self, sender: wire.Hello, token: ConnectionToken[wire.Answer]
    ) -> None:
        self.sender = (sender.node_id, sender.incarnation)
        self.token = token
        self.acknowledged = 0

    def key(self, attempt_id: int) -> "_CallKey":
        """Identifies an attempt of the sender over all its connections."""
        return (*self.sender, attempt_id)


class NodeServer:
    """Accepts calls, answers queries and passes control frames on."""

    __slots__ = (
        "_by_token",
        "_calls",
        "_control",
        "_metrics",
        "_peers",
        "_server",
        "_table",
        "_ticks",
    )

    def __init__(
        self,
        clock: Clock,
        server: UpstreamServer,
        metrics: Metrics,
        control: ControlHandler,
    ) -> None:
        """Starts without connections.

        Args:
            clock: Time source.
            server: Serves the calls.
            metrics: Counters of this node.
            control: Receives frames that are neither calls nor queries.
        """
        self._server = server
        self._metrics = metrics
        self._control = control
        self._table: AttemptTable[wire.Answer] = AttemptTable(clock)
        self._calls: dict[_CallKey, IncomingCall] = {}
        self._peers: dict[NodeConnection, _Peer] = {}
        self._ticks = 0
        self._by_token: dict[ConnectionToken[wire.Answer], NodeConnection] = {}

    def connection_ready(self, connection: NodeConnection) -> None:
        """Fences older connections of the same sender."""
        peer = connection.peer
        assert peer is not None
        opened = self._table.open_connection(
            peer.node_id, peer.incarnation, peer.connection_epoch
        )
        if opened.is_error():
            self.connection_rejected(opened.error.value)
            connection.abort()
            return
        token = opened.ok
        if token.replaced is not None:
            self._fence(token.replaced)
        self._peers[connection] = _Peer(peer, token)
        self._by_token[token] = connection

    def _fence(self, token: ConnectionToken[wire.Answer]) -> None:
        old = self._by_token.pop(token, None)
        if old is not None:
            self._peers.pop(old, None)
            self.connection_rejected("fenced")
            old.abort()

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Handles one frame; frames of a fenced connection are ignored."""
        peer = self._peers.get(connection)
        if peer is None:
            return
        if frame.call is not None:
            self._call(peer, frame.call)
        elif frame.cancel is not None:
            self._cancel(peer, frame.cancel.attempt_id)
        elif frame.attempt_query is not None:
            self._query(connection, peer, frame.attempt_query)
        else:
            self._control(connection, frame)

    def _call(self, peer: _Peer, call: wire.Call) -> None:
        attempt_id = call.attempt_id
        token = peer.token
        if not self._table.accept(token, attempt_id):
            self.connection_rejected("duplicate_attempt")
            return

        key = peer.key(attempt_id)

        def done(result: CallResult, retries: int) -> None:
            self._calls.pop(key, None)
            self._finish(token, attempt_id, result, retries, call.kind)

        incoming = self._server.serve(call, done)
        if incoming.is_unanswered:
            self._calls[key] = incoming

    def _finish(
        self,
        token: ConnectionToken[wire.Answer],
        attempt_id: int,
        result: CallResult,
        retries: int,
        kind: str,
    ) -> None:
        answer = self._server.answer_frame(attempt_id, result, retries, kind)
        size = len(answer.body) + _ANSWER_OVERHEAD_BYTES
        current = self._table.finish(token, attempt_id, answer, size)
        connection = self._by_token.get(current) if current else None
        if connection is not None:
            connection.send(wire.Frame(answer=answer))

    def _cancel(self, peer: _Peer, attempt_id: int) -> None:
        if self._table.cancel(peer.token, attempt_id):
            call = self._calls.get(peer.key(attempt_id))
            if call is not None:
                call.cancel()
            return
        # Cancelled before it arrived; the table rejects it from now on.
        result = CallResult.refused(RefusalReason.NEVER_ARRIVED)
        connection = self._by_token.get(peer.token)
        state = self._table.query(peer.token, [attempt_id])
        if connection and state and state[0].phase is AttemptPhase.NEVER_SEEN:
            answer = self._server.answer_frame(attempt_id, result, 0)
            connection.send(wire.Frame(answer=answer))

    def _query(
        self, connection: NodeConnection, peer: _Peer, query: wire.AttemptQuery
    ) -> None:
        states = [
            wire.AttemptState(
                attempt_id=state.attempt_id,
                phase=_WIRE_PHASES[state.phase],
                answer=state.answer,
            )
            for state in self._table.query(peer.token, query.attempt_ids)
        ]
        reply = wire.AttemptStates(states=states)
        connection.send(wire.Frame(attempt_states=reply))

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Drops the kept answers that the sender has read."""
        peer = self._peers.get(connection)
        if peer is not None:
            peer.acknowledged = sequence
            self._table.acknowledge(peer.token, sequence)

    def connection_rejected(self, reason: str) -> None:
        """Counts a connection or frame that is not accepted."""
        self._metrics.rejected_connections.labels(reason).inc()

    def connection_lost(self, connection: NodeConnection) -> None:
        """Ends a connection; calls that arrived on it go on."""
        peer = self._peers.pop(connection, None)
        if peer is not None:
            self._by_token.pop(peer.token, None)
            self._table.close_connection(peer.token)

    def connection_failed(self) -> None:
        """Does not occur on the accepting side."""

    def tick(self) -> None:
        """Drops old answers and asks senders what they have read.

        Call about once a second.
        """
        self._table.expire()
        self._ticks += 1
        if self._ticks % _TICKS_PER_ACKNOWLEDGEMENT:
            return
        for connection, peer in self._peers.items():
            answered = peer.token.answered
            if answered != peer.acknowledged:
                connection.ping(answered)


_WIRE_PHASES = {
    AttemptPhase.NEVER_SEEN: wire.AttemptPhase.NEVER_SEEN,
    AttemptPhase.RUNNING: wire.AttemptPhase.RUNNING,
    AttemptPhase.DONE: wire.AttemptPhase.DONE,
    AttemptPhase.FORGOTTEN: wire.AttemptPhase.FORGOTTEN,
}
