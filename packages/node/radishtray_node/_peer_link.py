"""Outgoing connection to one other node, with reconnects.

Liveness is checked by ping and pong. Attempts that were handed to a lost
connection are settled by asking the receiver about them over the next one.
"""

import logging
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTCP

from radishtray_node._link_liveness import LinkLiveness
from radishtray_node._sent_attempt import SendFailure, SentAttempt
from radishtray_node._timers import TimerWheel
from radishtray_protocol import wire
from radishtray_state import (
    AttemptPhase,
    AttemptSequence,
    AttemptState,
    AttemptVerdict,
    OutstandingAttempts,
    SettledAttempt,
)
from radishtray_transport import (
    CompressionTotals,
    MemoryAccount,
    NodeConnection,
    NodeIdentity,
    Signer,
    open_node_connection,
)

_LOG = logging.getLogger(__name__)
# A link without calls for longer is closed, so that a node keeps connections
# only to the nodes that it calls.
IDLE_TIMEOUT_S = 60.0
# Queued attempts fail as not run this long after connecting began, so that the
# sender can try another node.
_CONNECT_TIMEOUT_S = 0.3
_RECONNECT_DELAY_S = 0.2
# Consecutive failures to connect after which attempts that were handed to an
# earlier connection end as unknown.
_MAX_CONNECT_FAILURES = 5
_MAX_QUEUED = 4096

ProcessEndedCallback = Callable[[list[wire.Call], int], None]
_LostAttempts = list[SettledAttempt[SentAttempt, wire.Answer]]


class PeerLink:
    """Keeps one connection to a node and settles attempts across reconnects.

    A connection whose ping gets no pong in time is aborted.
    Other data from the peer does not prove that it still receives what this
    node sends. The next connection has a higher epoch, so that the receiver
    rejects frames of the old one (fencing), and queries the state of the
    attempts that were handed to earlier connections.

    Calls cannot wait that long if the connection is silent. A spare one is
    therefore opened while a pong is late: a peer that is only slow answers the
    earlier ping first, and one that is alive behind a silent connection
    completes the handshake of the spare one.
    """

    __slots__ = (
        "_compression",
        "_connect_failures",
        "_connect_started_s",
        "_connection",
        "_identity",
        "_incarnation",
        "_is_closed",
        "_is_connecting",
        "_is_control_unconfirmed",
        "_last_call_sent_s",
        "_liveness",
        "_memory",
        "_on_control",
        "_on_process_ended",
        "_on_rejected",
        "_on_verified",
        "_outstanding",
        "_queue",
        "_reactor",
        "_signer",
        "_spare",
        "_spare_started_s",
        "_timers",
        "address",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: TimerWheel,
        address: tuple[str, int],
        identity: NodeIdentity,
        sequence: AttemptSequence,
        signer: Signer,
        on_control: Callable[[wire.Frame], None],
        on_verified: Callable[[str, int], None],
        on_rejected: Callable[[str], None],
        on_process_ended: ProcessEndedCallback = lambda _calls, _inc: None,
        compression: CompressionTotals | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Prepares a link; it connects with the first frame.

        Args:
            reactor: The Twisted reactor.
            timers: Timers of connection timeouts and reconnects.
            address: IP address and port of the peer's node listener.
            identity: Node id and incarnation of this process.
            sequence: Numbers of this process's attempts and connections.
            signer: Signs the handshake with the cluster keys.
            on_control: Called with each frame that belongs to no attempt.
            on_verified: Called with the peer's node id and incarnation after
                each handshake.
            on_rejected: Called with the reason each time this side aborts a
                connection.
            on_process_ended: Called if the peer's process has ended before it
                answered some calls, with these calls and its incarnation.
            compression: Totals of compressed bytes; None to send and read no
                compressed frames.
            memory: Account of the memory for unsent frames; None for no limit.
        """
        self._memory = memory
        self.address = address
        self._reactor = reactor
        self._timers = timers
        self._identity = identity
        self._signer = signer
        self._compression = compression
        self._on_control = on_control
        self._on_rejected = on_rejected
        self._on_process_ended = on_process_ended
        self._on_verified = on_verified
        self._outstanding: OutstandingAttempts[SentAttempt, wire.Answer] = (
            OutstandingAttempts(sequence)
        )
        self._incarnation = identity.incarnation
        self._connection: NodeConnection | None = None
        self._queue: list[SentAttempt | wire.Frame] = []
        self._is_connecting = False
        self._is_closed = False
        self._connect_failures = 0
        self._liveness = LinkLiveness()
        self._spare: NodeConnection | None = None
        self._spare_started_s = 0.0
        # Whether no pong has arrived since the last untracked frame.
        self._is_control_unconfirmed = False
        self._last_call_sent_s = 0.0
        self._connect_started_s = 0.0

    @property
    def outstanding(self) -> int:
        """Number of attempts that were handed over and are not settled."""
        return self._outstanding.outstanding

    @property
    def is_idle(self) -> bool:
        """Whether no attempt or frame depends on the link."""
        return not (self._outstanding.outstanding or self._queue)

    @property
    def is_connected(self) -> bool:
        """Whether an authenticated connection is open."""
        return self._connection is not None and self._connection.is_ready

    def send(self, attempt: SentAttempt) -> None:
        """Sends an attempt, or queues it until a connection is ready."""
        connection = self._connection
        if connection is not None and connection.is_ready:
            self._hand_over(connection, attempt)
        elif self._is_closed or self._is_unreachable():
            self._settle_failed(attempt, SendFailure.NOT_RUN)
        else:
            self._queue.append(attempt)
            self._connect()

    def _is_unreachable(self) -> bool:
        """Returns whether an attempt should fail rather than be queued."""
        if len(self._queue) >= _MAX_QUEUED:
            return True
        connecting_s = self._reactor.seconds() - self._connect_started_s
        return self._is_connecting and connecting_s > _CONNECT_TIMEOUT_S

    def send_control(self, frame: wire.Frame) -> None:
        """Sends a frame without tracking its delivery.

        The frame is dropped if the queue is full or the link is closed.
        """
        connection = self._connection
        if connection is not None and connection.is_ready:
            self._is_control_unconfirmed = True
            connection.send(frame)
        elif len(self._queue) < _MAX_QUEUED and not self._is_closed:
            self._queue.append(frame)
            self._connect()

    def cancel(self, attempt: SentAttempt) -> None:
        """Asks the receiver to cancel an attempt; its answer settles it.

        The receiver is asked again if the connection is lost and the attempt
        turns out to be running.
        """
        attempt.is_cancelled = True
        if not attempt.is_handed_over:
            self._settle_failed(attempt, SendFailure.NOT_RUN)
        elif self._connection is not None and self._connection.is_ready:
            self._send_cancel(self._connection, attempt)

    @staticmethod
    def _send_cancel(connection: NodeConnection, attempt: SentAttempt) -> None:
        cancel = wire.Cancel(attempt_id=attempt.call.attempt_id)
        connection.send(wire.Frame(cancel=cancel))

    def check_liveness(self) -> None:
        """Pings the peer, or aborts the connection if a pong is overdue.

        Must be called four times a second. Pings are sent only while attempts
        wait for an answer and after other frames, so their cost grows with the
        calls and not with the number of links. A connection that is idle for
        long is closed.
        """
        connection = self._connection
        if connection is None or not connection.is_ready:
            return
        now_s = self._reactor.seconds()
        if not self._outstanding.outstanding and (
            not self._is_control_unconfirmed
        ):
            self._liveness.stop_waiting()
            if now_s - self._last_call_sent_s > IDLE_TIMEOUT_S:
                connection.close()
            return
        liveness = self._liveness
        if not liveness.is_waiting:
            connection.ping(liveness.record_ping(now_s))
        elif liveness.has_timed_out(now_s):
            self._abort_silent(connection)
        elif liveness.is_spare_due(now_s) and self._spare is None:
            self._spare_started_s = now_s
            self._spare = self._open_connection()

    def _abort_silent(self, connection: NodeConnection) -> None:
        self._on_rejected("silent_connection")
        connection.abort()

    def _close_spare(self) -> None:
        spare, self._spare = self._spare, None
        if spare is not None:
            spare.abort()

    def reset(self) -> None:
        """Aborts the connection if it is ready.

        Its attempts are settled over the next one. That is not the spare one,
        which may have been opened under another incarnation.
        """
        self._close_spare()
        connection = self._connection
        if connection is not None and connection.is_ready:
            _LOG.info(
                "node link reset",
                extra={
                    "address": f"{self.address[0]}:{self.address[1]}",
                    "outstanding": self._outstanding.outstanding,
                },
            )
            connection.abort()

    def give_up_attempts(self) -> None:
        """Ends all handed-over attempts as unknown; aborts the connection.

        To be called once the peer's process has been replaced by another one at
        another address.
        """
        incarnation = self._outstanding.receiver_incarnation
        lost = self._outstanding.receiver_lost()
        self._close_spare()
        connection, self._connection = self._connection, None
        self._is_connecting = False
        if connection is not None:
            connection.abort()
        self._settle_ended(lost, incarnation)

    def _settle_ended(self, lost: _LostAttempts, incarnation: int) -> None:
        """Settles the attempts at a process that has ended as unknown."""
        if lost:
            calls = [settled.context.call for settled in lost]
            self._on_process_ended(calls, incarnation)
        self._settle_unknown(lost)

    def _settle_unknown(self, lost: _LostAttempts) -> None:
        for settled in lost:
            self._settle_failed(settled.context, SendFailure.UNKNOWN)

    def close(self) -> None:
        """Closes the connection; queued attempts fail as not run."""
        _LOG.info(
            "node link closed",
            extra={
                "address": f"{self.address[0]}:{self.address[1]}",
                "outstanding": self._outstanding.outstanding,
                "queued": len(self._queue),
            },
        )
        self._is_closed = True
        self._close_spare()
        self._fail_queued_attempts()
        if self._connection is not None:
            self._connection.close()

    def _fail_queued_attempts(self) -> None:
        """Fails queued attempts as not run and drops queued frames."""
        queue = self._queue
        self._queue = []
        for item in queue:
            if isinstance(item, SentAttempt):
                self._settle_failed(item, SendFailure.NOT_RUN)

    def _connect(self) -> None:
        if self._is_connecting or self._is_closed or self.is_connected:
            return
        self._is_connecting = True
        self._liveness.stop_waiting()
        self._close_spare()
        self._connect_started_s = self._reactor.seconds()
        self._await_connection(self._open_connection())

    def _open_connection(self) -> NodeConnection:
        return open_node_connection(
            self._reactor,
            self.address,
            self._identity,
            self._outstanding.next_epoch(),
            self._signer,
            self,
            compression=self._compression,
            memory=self._memory,
        )

    def _await_connection(self, connection: NodeConnection) -> None:
        """Makes a connection that is being opened the current one."""
        self._connection = connection
        self._timers.call_later(
            _CONNECT_TIMEOUT_S, lambda: self._handle_slow_connect(connection)
        )

    def _handle_slow_connect(self, connection: NodeConnection) -> None:
        """Fails the attempts that have waited too long for a connection."""
        if connection is self._connection:
            self._fail_queued_attempts()

    def _hand_over(
        self, connection: NodeConnection, attempt: SentAttempt
    ) -> None:
        attempt_id = self._outstanding.hand_over(attempt)
        if attempt_id is None:
            self._settle_failed(attempt, SendFailure.NOT_RUN)
            return
        attempt.call.attempt_id = attempt_id
        attempt.is_handed_over = True
        self._last_call_sent_s = now_s = self._reactor.seconds()
        connection.send(wire.Frame(call=attempt.call))
        if self._liveness.is_ping_due(now_s):
            connection.ping(self._liveness.record_ping(now_s))

    def connection_ready(self, connection: NodeConnection) -> None:
        """Settles attempts of earlier connections, then sends the queue."""
        assert connection.peer is not None
        if connection is self._spare:
            self._replace_silent_connection(connection)
        self._is_connecting = False
        self._connect_failures = 0
        self._liveness.begin(self._reactor.seconds())
        self._is_control_unconfirmed = False
        if connection.incarnation != self._incarnation:
            # The receiver does not know attempts that were sent under another
            # incarnation, though it may have run them.
            self._incarnation = connection.incarnation
            self._settle_unknown(self._outstanding.receiver_lost())
        earlier_incarnation = self._outstanding.receiver_incarnation
        reopened = self._outstanding.opened(
            connection.epoch, connection.peer.incarnation
        )
        if reopened is None:
            connection.abort()
            return
        self._settle_ended(reopened.lost_attempts, earlier_incarnation)
        _LOG.info(
            "node link opened",
            extra={
                "peer": connection.peer.node_id,
                "incarnation": connection.peer.incarnation,
                "epoch": connection.epoch,
                "lost": len(reopened.lost_attempts),
                "queried": len(reopened.query_ids),
            },
        )
        if reopened.query_ids:
            query = wire.AttemptQuery(attempt_ids=reopened.query_ids)
            connection.send(wire.Frame(attempt_query=query))
        self._on_verified(connection.peer.node_id, connection.peer.incarnation)
        queue = self._queue
        self._queue = []
        for item in queue:
            if isinstance(item, wire.Frame):
                connection.send(item)
            elif not item.is_settled:
                self._hand_over(connection, item)

    def _replace_silent_connection(self, spare: NodeConnection) -> None:
        silent, self._connection = self._connection, spare
        self._spare = None
        if silent is not None:
            self._abort_silent(silent)

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Settles attempts by answers and states; passes on other frames."""
        answer = frame.answer
        if answer is not None:
            attempt = self._outstanding.answered(
                connection.epoch, answer.attempt_id
            )
            if attempt is not None:
                self._settle_answered(attempt, answer)
            else:
                self._on_rejected("unmatched_answer")
        elif frame.attempt_states is not None:
            self._settle_states(connection, frame.attempt_states)
        else:
            self._on_control(frame)

    def _settle_states(
        self, connection: NodeConnection, states: wire.AttemptStates
    ) -> None:
        settled = self._outstanding.settle(
            connection.epoch,
            [
                AttemptState(
                    s.attempt_id, _PHASE_BY_WIRE_PHASE[s.phase], s.answer
                )
                for s in states.states
                if s.phase in _PHASE_BY_WIRE_PHASE
            ],
        )
        for item in settled:
            if item.verdict is AttemptVerdict.ANSWERED:
                assert item.answer is not None
                self._settle_answered(item.context, item.answer)
            elif item.verdict is AttemptVerdict.NOT_RUN:
                self._settle_failed(item.context, SendFailure.NEVER_SEEN)
            else:
                self._settle_failed(item.context, SendFailure.UNKNOWN)
        for state in states.states:
            attempt = self._outstanding.find(state.attempt_id)
            if attempt is not None and attempt.is_cancelled:
                self._send_cancel(connection, attempt)

    def read_finished(self, connection: NodeConnection) -> None:
        """Does nothing: each frame is handled as it arrives."""

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Records that the peer still receives what this node sends."""
        if connection is not self._connection or (
            not self._liveness.record_pong(sequence, self._reactor.seconds())
        ):
            return
        self._is_control_unconfirmed = False
        if self._spare is not None and not self._spare.has_sent_proof:
            self._close_spare()

    def connection_rejected(self, reason: str) -> None:
        """Reports a connection that this side aborted."""
        self._on_rejected(reason)

    def connection_lost(self, connection: NodeConnection) -> None:
        """Reconnects if attempts or frames depend on it."""
        if connection is self._spare:
            self._spare = None
        if connection is not self._connection:
            return
        self._outstanding.closed(connection.epoch)
        if self._is_connecting:
            self.connection_failed(connection, is_refused=False)
            return
        spare, self._spare = self._spare, None
        if spare is not None:
            self._is_connecting = True
            self._connect_started_s = self._spare_started_s
            self._await_connection(spare)
            return
        self._connection = None
        if not self.is_idle:
            self._reconnect()

    def _reconnect(self) -> None:
        """Reconnects, after a delay if the last connection was short-lived.

        Without the delay, a receiver that closes each connection at once would
        cause a tight reconnect loop.
        """
        age_s = self._reactor.seconds() - self._connect_started_s
        if age_s > _RECONNECT_DELAY_S:
            self._connect()
        else:
            self._timers.call_later(_RECONNECT_DELAY_S, self._connect)

    def connection_failed(
        self, connection: NodeConnection, *, is_refused: bool
    ) -> None:
        """Fails queued attempts; reconnects to settle those handed over.

        If the connection was refused, the process that had them has ended,
        since a node listens until it ends.
        """
        if connection is self._spare:
            self._spare = None
            if is_refused and self._connection is not None:
                self._connection.abort()
        if connection is not self._connection:
            return
        self._is_connecting = False
        self._connection = None
        self._connect_failures += 1
        self._fail_queued_attempts()
        if not self._outstanding.outstanding:
            return
        if is_refused:
            self._settle_ended(
                self._outstanding.receiver_lost(),
                self._outstanding.receiver_incarnation,
            )
        elif self._connect_failures >= _MAX_CONNECT_FAILURES:
            self._settle_unknown(self._outstanding.receiver_lost())
        else:
            self._timers.call_later(_RECONNECT_DELAY_S, self._connect)

    @staticmethod
    def _settle_answered(attempt: SentAttempt, answer: wire.Answer) -> None:
        if not attempt.is_settled:
            attempt.is_settled = True
            attempt.on_answer(answer)

    @staticmethod
    def _settle_failed(attempt: SentAttempt, failure: SendFailure) -> None:
        if not attempt.is_settled:
            attempt.is_settled = True
            attempt.on_failure(failure)


_PHASE_BY_WIRE_PHASE = {
    wire.AttemptPhase.NEVER_SEEN: AttemptPhase.NEVER_SEEN,
    wire.AttemptPhase.RUNNING: AttemptPhase.RUNNING,
    wire.AttemptPhase.DONE: AttemptPhase.DONE,
    wire.AttemptPhase.FORGOTTEN: AttemptPhase.FORGOTTEN,
}
