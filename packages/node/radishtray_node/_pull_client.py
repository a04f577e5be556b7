"""Pulls of the configuration from other nodes."""

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTCP

from radishtray_protocol import wire
from radishtray_transport import (
    UNTRACKED_EPOCH,
    NodeConnection,
    NodeIdentity,
    Signer,
    open_node_connection,
)

# A node that is cut off neither accepts nor refuses a connection.
_HANDSHAKE_TIMEOUT_S = 0.6
# Of the whole pull. A large table takes seconds over a slow link.
_PULL_TIMEOUT_S = 3.0


class PullError(Exception):
    """A pull ended without an answer."""


class PullClient:
    """Pulls the configuration, each time over a connection of its own.

    The connections of calls are not used. They may have gone silent, which is
    noticed too late for a version that has to be in force within seconds.
    """

    __slots__ = ("_identity", "_pulls", "_reactor", "_signer")

    def __init__(
        self, reactor: IReactorTCP, identity: NodeIdentity, signer: Signer
    ) -> None:
        """Creates a client without connections.

        Args:
            reactor: The Twisted reactor.
            identity: Node id and incarnation of this process.
            signer: Cluster keys.
        """
        self._reactor = reactor
        self._identity = identity
        self._signer = signer
        self._pulls: set[_Pull] = set()

    def pull(
        self, address: tuple[str, int], have_generation: int
    ) -> "Deferred[wire.ReleasePush]":
        """Asks a node for a generation newer than the given one.

        Args:
            address: IP address and port of the node's listener.
            have_generation: Generation of this node.

        Returns:
            Fires with the answer, whose generation is 0 if the node has none
            that is newer; fails with `PullError` if there is no answer.
        """
        pull = _Pull(have_generation)
        self._pulls.add(pull)
        pull.reply.addBoth(self._end_pull, pull)
        pull.start(self._reactor, address, self._identity, self._signer)
        return pull.reply

    def _end_pull(self, result: object, pull: "_Pull") -> object:
        self._pulls.discard(pull)
        return result

    def close(self) -> None:
        """Ends all pulls."""
        for pull in list(self._pulls):
            pull.fail("the node stops")


class _Pull:
    """One pull and its connection, whose events it handles.

    Attributes:
        reply: Fires with the answer.
    """

    __slots__ = ("_connection", "_have_generation", "_timers", "reply")

    def __init__(self, have_generation: int) -> None:
        self.reply: Deferred[wire.ReleasePush] = Deferred(
            lambda _: self._abort()
        )
        self._have_generation = have_generation
        self._connection: NodeConnection | None = None
        self._timers: list[IDelayedCall] = []

    def start(
        self,
        reactor: IReactorTCP,
        address: tuple[str, int],
        identity: NodeIdentity,
        signer: Signer,
    ) -> None:
        """Opens the connection and starts the timeouts."""
        self._timers = [
            reactor.callLater(timeout_s, self.fail, reason)
            for timeout_s, reason in (
                (_HANDSHAKE_TIMEOUT_S, "no connection in time"),
                (_PULL_TIMEOUT_S, "no answer in time"),
            )
        ]
        self._connection = open_node_connection(
            reactor,
            address,
            identity,
            UNTRACKED_EPOCH,
            signer,
            self,
            timeout_s=_HANDSHAKE_TIMEOUT_S,
        )

    def fail(self, reason: str) -> None:
        """Ends the pull without an answer, unless it has ended."""
        if not self.reply.called:
            self._abort()
            self.reply.errback(PullError(reason))

    def _abort(self) -> None:
        self._cancel_timers()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            if timer.active():
                timer.cancel()

    def connection_ready(self, connection: NodeConnection) -> None:
        """Sends the pull."""
        handshake_timer = self._timers[0]
        if handshake_timer.active():
            handshake_timer.cancel()
        pull = wire.ReleasePull(have_generation=self._have_generation)
        connection.send(wire.Frame(release_pull=pull))

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Completes the pull with its answer; ignores other frames."""
        push = frame.release_push
        if push is None or self.reply.called:
            return
        self._cancel_timers()
        self._connection = None
        connection.close()
        self.reply.callback(push)

    def read_finished(self, connection: NodeConnection) -> None:
        """Does nothing: each frame is handled as it arrives."""

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Does nothing: no pings are sent."""

    def connection_rejected(self, reason: str) -> None:
        """Ends the pull: the handshake failed or a frame was invalid."""
        self.fail(reason)

    def connection_lost(self, connection: NodeConnection) -> None:
        """Ends the pull, unless its answer has arrived."""
        self.fail("connection lost")

    def connection_failed(
        self, connection: NodeConnection, *, is_refused: bool
    ) -> None:
        """Ends the pull."""
        self.fail("connection refused" if is_refused else "cannot connect")
