"""The sending side towards one other node."""

import hashlib
import logging
from collections.abc import Callable
from enum import Enum

from twisted.internet.interfaces import IReactorTCP

from radishtray_node._timers import TimerWheel
from radishtray_protocol import wire
from radishtray_state import (
    SALT_BITS,
    AttemptPhase,
    AttemptState,
    AttemptVerdict,
    OutstandingAttempts,
)
from radishtray_transport import (
    NodeConnection,
    NodeIdentity,
    Signer,
    open_node_connection,
)

_LOG = logging.getLogger(__name__)
SILENCE_S = 0.8
# A link without attempts is closed, so that a node keeps connections only to
# the nodes that it really calls.
IDLE_S = 60.0
# An attempt that no connection has taken by then is tried elsewhere.
_CONNECT_PATIENCE_S = 0.3
_RECONNECT_S = 0.2
# Refused or failed connections in a row after which attempts that were handed
# to an earlier connection are given up.
_GIVE_UP_FAILURES = 5
_MAX_WAITING = 4096


class SendFailure(Enum):
    """Why an attempt ended without an answer of the receiver."""

    NOT_RUN = "not_run"
    """The attempt was never handed over, or the receiver ruled it out."""

    UNKNOWN = "unknown"
    """The attempt may have run."""


class SentAttempt:
    """One attempt towards a node.

    Attributes:
        call: The call; its attempt id is set when it is handed over.
        on_answer: Called once with the receiver's answer.
        on_failure: Called once if there is none.
        is_handed_over: Whether the frame was given to a socket.
        is_settled: Whether a callback was called or the attempt abandoned.
    """

    __slots__ = (
        "call",
        "is_handed_over",
        "is_settled",
        "on_answer",
        "on_failure",
    )

    def __init__(
        self,
        call: wire.Call,
        on_answer: Callable[[wire.Answer], None],
        on_failure: Callable[[SendFailure], None],
    ) -> None:
        """Holds an attempt that has not been sent."""
        self.call = call
        self.on_answer = on_answer
        self.on_failure = on_failure
        self.is_handed_over = False
        self.is_settled = False


def attempt_id_salt(address: tuple[str, int]) -> int:
    """Returns a different range of attempt ids for each receiver.

    An answer that arrives on the connection of another receiver then matches
    no attempt.
    """
    digest = hashlib.blake2b(repr(address).encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % (1 << SALT_BITS)


class PeerLink:
    """Keeps one connection to a node and settles attempts over reconnects.

    A connection without a pong for `SILENCE_S` is aborted. Other bytes of the
    peer do not show that it still receives what this node sends. The next
    one has a higher epoch, which makes the receiver reject frames of the old
    one, and asks for the attempts that were handed to it.
    """

    __slots__ = (
        "_connection",
        "_failures",
        "_identity",
        "_is_closed",
        "_is_opening",
        "_last_sent_s",
        "_on_control",
        "_on_rejected",
        "_on_verified",
        "_opening_since_s",
        "_outstanding",
        "_ping_sequence",
        "_pinged_s",
        "_reactor",
        "_signer",
        "_timers",
        "_waiting",
        "address",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: TimerWheel,
        address: tuple[str, int],
        identity: NodeIdentity,
        signer: Signer,
        on_control: Callable[[wire.Frame], None],
        on_verified: Callable[[str, int], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        """Prepares a link; it connects with the first frame.

        Args:
            reactor: The Twisted reactor.
            timers: Timers for reconnecting.
            address: IP address and port of the peer's node listener.
            identity: This node.
            signer: Cluster keys.
            on_control: Receives frames other than answers.
            on_verified: Called with the peer's node id and incarnation after
                each handshake.
            on_rejected: Called with the reason of each rejected connection.
        """
        self.address = address
        self._reactor = reactor
        self._timers = timers
        self._identity = identity
        self._signer = signer
        self._on_control = on_control
        self._on_rejected = on_rejected
        self._on_verified = on_verified
        self._outstanding: OutstandingAttempts[SentAttempt, wire.Answer] = (
            OutstandingAttempts(attempt_id_salt(address))
        )
        self._connection: NodeConnection | None = None
        self._waiting: list[SentAttempt | wire.Frame] = []
        self._is_opening = False
        self._is_closed = False
        self._failures = 0
        self._ping_sequence = 0
        self._pinged_s: float | None = None
        self._last_sent_s = 0.0
        self._opening_since_s = 0.0

    @property
    def outstanding(self) -> int:
        """Attempts that were handed over and are not settled."""
        return self._outstanding.outstanding

    @property
    def is_connected(self) -> bool:
        """Whether an authenticated connection is open."""
        return self._connection is not None and self._connection.is_ready

    def send(self, attempt: SentAttempt) -> None:
        """Sends an attempt now, or once a connection is ready."""
        connection = self._connection
        if connection is not None and connection.is_ready:
            self._hand_over(connection, attempt)
        elif self._is_closed or self._is_unreachable():
            self._fail(attempt, SendFailure.NOT_RUN)
        else:
            self._waiting.append(attempt)
            self._open()

    def _is_unreachable(self) -> bool:
        """Whether waiting for a connection has no prospect."""
        if len(self._waiting) >= _MAX_WAITING:
            return True
        opening_s = self._reactor.seconds() - self._opening_since_s
        return self._is_opening and opening_s > _CONNECT_PATIENCE_S

    def send_control(self, frame: wire.Frame) -> None:
        """Sends a frame that needs no settlement."""
        connection = self._connection
        if connection is not None and connection.is_ready:
            connection.send(frame)
        elif len(self._waiting) < _MAX_WAITING and not self._is_closed:
            self._waiting.append(frame)
            self._open()

    def cancel(self, attempt: SentAttempt) -> None:
        """Asks the receiver to cancel; its answer still settles the attempt."""
        if not attempt.is_handed_over:
            self._fail(attempt, SendFailure.NOT_RUN)
        elif self._connection is not None and self._connection.is_ready:
            cancel = wire.Cancel(attempt_id=attempt.call.attempt_id)
            self._connection.send(wire.Frame(cancel=cancel))

    def abandon(self, attempt: SentAttempt) -> None:
        """Stops waiting for an attempt; no callback is called."""
        attempt.is_settled = True
        if attempt.is_handed_over:
            self._outstanding.give_up(attempt.call.attempt_id)

    def check_silence(self) -> None:
        """Pings a quiet connection and aborts a silent one.

        Call four times a second. Only attempts that wait for an answer cause
        pings, so the cost follows the calls and not the number of links.
        """
        connection = self._connection
        if connection is None or not connection.is_ready:
            return
        now_s = self._reactor.seconds()
        if not self._outstanding.outstanding:
            self._pinged_s = None
            if now_s - self._last_sent_s > IDLE_S:
                connection.close()
            return
        if self._pinged_s is None:
            self._pinged_s = now_s
            self._ping_sequence += 1
            connection.ping(self._ping_sequence)
        elif now_s - self._pinged_s >= SILENCE_S:
            self._on_rejected("silent_connection")
            connection.abort()

    def give_up_attempts(self) -> None:
        """Ends all attempts as unknown and aborts the connection.

        Needed before this node changes its incarnation.
        """
        lost = self._outstanding.receiver_lost()
        connection, self._connection = self._connection, None
        self._is_opening = False
        if connection is not None:
            connection.abort()
        for settled in lost:
            self._fail(settled.context, SendFailure.UNKNOWN)

    def close(self) -> None:
        """Closes the connection; attempts not handed over fail as not run."""
        self._is_closed = True
        self._fail_waiting()
        if self._connection is not None:
            self._connection.close()

    def _fail_waiting(self) -> None:
        """Fails what no connection has taken; nothing of it was sent."""
        waiting = self._waiting
        self._waiting = []
        for item in waiting:
            if isinstance(item, SentAttempt):
                self._fail(item, SendFailure.NOT_RUN)

    def _open(self) -> None:
        if self._is_opening or self._is_closed:
            return
        self._is_opening = True
        self._pinged_s = None
        self._opening_since_s = self._reactor.seconds()
        self._timers.after(_CONNECT_PATIENCE_S, self._fail_waiting)
        self._connection = open_node_connection(
            self._reactor,
            self.address,
            self._identity,
            self._outstanding.next_epoch(),
            self._signer,
            self,
        )

    def _hand_over(
        self, connection: NodeConnection, attempt: SentAttempt
    ) -> None:
        attempt_id = self._outstanding.hand_over(attempt)
        if attempt_id is None:
            self._fail(attempt, SendFailure.NOT_RUN)
            return
        attempt.call.attempt_id = attempt_id
        attempt.is_handed_over = True
        self._last_sent_s = self._reactor.seconds()
        connection.send(wire.Frame(call=attempt.call))

    def connection_ready(self, connection: NodeConnection) -> None:
        """Settles what was outstanding, then sends what is waiting."""
        assert connection.peer is not None
        self._is_opening = False
        self._failures = 0
        self._pinged_s = None
        reopened = self._outstanding.opened(
            connection.epoch, connection.peer.incarnation
        )
        if reopened is None:
            connection.abort()
            return
        for settled in reopened.lost_attempts:
            self._fail(settled.context, SendFailure.UNKNOWN)
        if reopened.query_ids:
            query = wire.AttemptQuery(attempt_ids=reopened.query_ids)
            connection.send(wire.Frame(attempt_query=query))
        self._on_verified(connection.peer.node_id, connection.peer.incarnation)
        waiting = self._waiting
        self._waiting = []
        for item in waiting:
            if isinstance(item, wire.Frame):
                connection.send(item)
            elif not item.is_settled:
                self._hand_over(connection, item)

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Matches answers and states to attempts."""
        answer = frame.answer
        if answer is not None:
            attempt = self._outstanding.answered(
                connection.epoch, answer.attempt_id
            )
            if attempt is not None:
                self._answer(attempt, answer)
        elif frame.attempt_states is not None:
            self._settle(connection, frame.attempt_states)
        else:
            self._on_control(frame)

    def _settle(
        self, connection: NodeConnection, states: wire.AttemptStates
    ) -> None:
        settled = self._outstanding.settle(
            connection.epoch,
            [
                AttemptState(s.attempt_id, _PHASES[s.phase], s.answer)
                for s in states.states
                if s.phase in _PHASES
            ],
        )
        for item in settled:
            if item.verdict is AttemptVerdict.ANSWERED:
                assert item.answer is not None
                self._answer(item.context, item.answer)
            elif item.verdict is AttemptVerdict.NOT_RUN:
                self._fail(item.context, SendFailure.NOT_RUN)
            else:
                self._fail(item.context, SendFailure.UNKNOWN)

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Notes that the peer receives what this node sends."""
        if connection is self._connection and sequence == self._ping_sequence:
            self._pinged_s = None

    def connection_rejected(self, reason: str) -> None:
        """Counts a connection that this side aborted."""
        self._on_rejected(reason)

    def connection_lost(self, connection: NodeConnection) -> None:
        """Reconnects if attempts depend on it."""
        if connection is not self._connection:
            return
        self._connection = None
        self._outstanding.closed(connection.epoch)
        if self._is_opening:
            self.connection_failed()
        elif self._outstanding.outstanding or self._waiting:
            self._reopen()

    def _reopen(self) -> None:
        """Opens at once, but with a pause after a connection that was short.

        A receiver that closes each connection would else be called without end.
        """
        opened_s = self._reactor.seconds() - self._opening_since_s
        if opened_s > _RECONNECT_S:
            self._open()
        else:
            self._timers.after(_RECONNECT_S, self._open)

    def connection_failed(self) -> None:
        """Fails what waits and tries again for what was handed over."""
        self._is_opening = False
        self._connection = None
        self._failures += 1
        self._fail_waiting()
        if not self._outstanding.outstanding:
            return
        if self._failures >= _GIVE_UP_FAILURES:
            for settled in self._outstanding.receiver_lost():
                self._fail(settled.context, SendFailure.UNKNOWN)
        else:
            self._timers.after(_RECONNECT_S, self._open)

    @staticmethod
    def _answer(attempt: SentAttempt, answer: wire.Answer) -> None:
        if not attempt.is_settled:
            attempt.is_settled = True
            attempt.on_answer(answer)

    @staticmethod
    def _fail(attempt: SentAttempt, failure: SendFailure) -> None:
        if not attempt.is_settled:
            attempt.is_settled = True
            attempt.on_failure(failure)


_PHASES = {
    wire.AttemptPhase.NEVER_SEEN: AttemptPhase.NEVER_SEEN,
    wire.AttemptPhase.RUNNING: AttemptPhase.RUNNING,
    wire.AttemptPhase.DONE: AttemptPhase.DONE,
    wire.AttemptPhase.FORGOTTEN: AttemptPhase.FORGOTTEN,
}
