"""Receiver's record of attempts, by sender.

A sender numbers its attempts per receiver, upwards, in the order in which it
hands them to a socket. The receiver therefore accepts only increasing
ids, which rejects duplicates without remembering every id.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import Enum
from typing import Generic, TypeVar

from expression import Error, Ok, Result

from radishtray_state._clock import Clock

AnswerT = TypeVar("AnswerT")

_MAX_PAST_RANGES = 4  # More are merged; only precision is lost, not safety.


class AttemptPhase(Enum):
    """What a receiver says about an attempt."""

    NEVER_SEEN = "never_seen"
    """The attempt was not accepted and never will be."""

    RUNNING = "running"
    """The attempt was accepted; its answer follows on this connection."""

    DONE = "done"
    """The attempt was answered; the answer is attached."""

    FORGOTTEN = "forgotten"
    """The attempt may have been accepted; its record is gone."""


class AttemptState(Generic[AnswerT]):
    """State of one attempt, as reported to its sender."""

    __slots__ = ("_answer", "_attempt_id", "_phase")

    def __init__(
        self,
        attempt_id: int,
        phase: AttemptPhase,
        answer: AnswerT | None = None,
    ) -> None:
        """Creates a state.

        Args:
            attempt_id: Id given by the sender.
            phase: The state.
            answer: The answer of a finished attempt.
        """
        self._attempt_id = attempt_id
        self._phase = phase
        self._answer = answer

    @property
    def attempt_id(self) -> int:
        """Id given by the sender."""
        return self._attempt_id

    @property
    def phase(self) -> AttemptPhase:
        """The state."""
        return self._phase

    @property
    def answer(self) -> AnswerT | None:
        """The answer of a finished attempt."""
        return self._answer


class ConnectionRejection(Enum):
    """Why a connection was not opened; the receiver closes it."""

    OLD_INCARNATION = "old_incarnation"
    """A newer process of this sender has connected."""

    OLD_EPOCH = "old_epoch"
    """The sender has opened a newer connection, or this one twice."""

    TOO_MANY_SENDERS = "too_many_senders"
    """The table is full of senders with connections or running attempts."""


class AttemptBounds:
    """Bounds of an `AttemptTable`."""

    __slots__ = ("_answer_bytes", "_answers", "_retention_s", "_senders")

    def __init__(
        self,
        answers: int = 4096,
        answer_bytes: int = 8 * 2**20,
        retention_s: float = 30.0,
        senders: int = 8192,
    ) -> None:
        """Creates bounds.

        Args:
            answers: Answers kept for all senders together.
            answer_bytes: Bytes of the answers kept.
            retention_s: Time for which an answer is kept, in seconds.
            senders: Senders remembered, connected or not.

        Raises:
            ValueError: If a bound is not positive.
        """
        if min(answers, answer_bytes, retention_s, senders) <= 0:
            raise ValueError("attempt bounds must be positive")
        self._answers = answers
        self._answer_bytes = answer_bytes
        self._retention_s = retention_s
        self._senders = senders

    @property
    def answers(self) -> int:
        """Answers kept for all senders together."""
        return self._answers

    @property
    def answer_bytes(self) -> int:
        """Bytes of the answers kept."""
        return self._answer_bytes

    @property
    def retention_s(self) -> float:
        """Time for which an answer is kept, in seconds."""
        return self._retention_s

    @property
    def senders(self) -> int:
        """Senders remembered, connected or not."""
        return self._senders


class _Kept(Generic[AnswerT]):
    """A finished attempt whose answer is kept."""

    __slots__ = ("answer", "attempt_id", "expires_at", "sender", "size")

    def __init__(
        self,
        sender: "_Sender[AnswerT]",
        attempt_id: int,
        answer: AnswerT,
        size: int,
        expires_at: float,
    ) -> None:
        self.sender = sender
        self.attempt_id = attempt_id
        self.answer = answer
        self.size = size
        self.expires_at = expires_at


class _Sender(Generic[AnswerT]):
    """One incarnation of a sender.

    Fields:
        incarnation: Incarnation of the sender's process.
        epoch: Highest connection epoch seen.
        token: The only connection that is not fenced, if any.
        highest: Ids up to this one are not accepted any more.
        first: First id accepted by this record; 0 before that.
        dropped_up_to: Highest finished id whose answer was dropped.
        past_ranges: First and last accepted id of each ended connection,
            oldest first. Every accepted id lies in one of them or in the
            range of the current connection.
        is_recreated: Whether an earlier record of this sender may have been
            evicted.
        is_replaced: Whether a newer incarnation has connected.
        attempts: None for a running attempt.
    """

    __slots__ = (
        "attempts",
        "dropped_up_to",
        "epoch",
        "first",
        "highest",
        "incarnation",
        "is_recreated",
        "is_replaced",
        "past_ranges",
        "token",
    )

    def __init__(self, incarnation: int, is_recreated: bool) -> None:
        self.incarnation = incarnation
        self.epoch = 0
        self.token: ConnectionToken[AnswerT] | None = None
        self.highest = 0
        self.first = 0
        self.dropped_up_to = 0
        self.past_ranges: list[tuple[int, int]] = []
        self.is_recreated = is_recreated
        self.is_replaced = False
        self.attempts: dict[int, _Kept[AnswerT] | None] = {}

    def is_running(self, attempt_id: int) -> bool:
        """Whether the attempt was accepted and is not finished."""
        attempts = self.attempts
        return attempt_id in attempts and attempts[attempt_id] is None

    def may_have_dropped(self, attempt_id: int) -> bool:
        """Whether an unrecorded attempt may have been accepted."""
        if self.is_recreated and not 0 < self.first <= attempt_id:
            return True
        if attempt_id > self.dropped_up_to:
            return False
        token = self.token
        if token is not None and token._first <= attempt_id <= token._last:
            return True
        return any(
            first <= attempt_id <= last for first, last in self.past_ranges
        )

    def end_connection(self) -> "ConnectionToken[AnswerT] | None":
        """Fences the current connection and returns it."""
        token = self.token
        if token is None:
            return None
        self.token = None
        token._is_fenced = True
        if token._first:
            self.past_ranges.append((token._first, token._last))
        if len(self.past_ranges) > _MAX_PAST_RANGES:
            first, last = self.past_ranges[0][0], self.past_ranges[1][1]
            self.past_ranges[:2] = [(first, last)]
        return token


class ConnectionToken(Generic[AnswerT]):
    """One authenticated connection from a sender."""

    __slots__ = (
        "_acknowledged",
        "_answered",
        "_epoch",
        "_first",
        "_is_fenced",
        "_last",
        "_replaced",
        "_sender",
        "_unacknowledged",
    )

    def __init__(self, sender: _Sender[AnswerT], epoch: int) -> None:
        """Creates a token; only `AttemptTable.open_connection` does so."""
        self._sender = sender
        self._epoch = epoch
        self._is_fenced = False
        self._replaced: ConnectionToken[AnswerT] | None = None
        self._first = 0
        self._last = 0
        self._answered = 0
        self._acknowledged = 0
        self._unacknowledged: deque[int] = deque()

    @property
    def epoch(self) -> int:
        """Epoch given by the sender."""
        return self._epoch

    @property
    def is_fenced(self) -> bool:
        """Whether frames of this connection must be ignored."""
        return self._is_fenced

    @property
    def replaced(self) -> "ConnectionToken[AnswerT] | None":
        """The connection that this one fenced; the receiver closes it."""
        return self._replaced

    @property
    def answered(self) -> int:
        """Answers handed to this connection so far.

        A receiver that sends a ping notes this number. The matching pong
        acknowledges that many answers, because the sender read them first.
        """
        return self._answered

    def _add_answer(self, attempt_id: int) -> None:
        self._answered += 1
        self._unacknowledged.append(attempt_id)


class AttemptTable(Generic[AnswerT]):
    """Accepts attempts, keeps their answers and reports their states.

    An attempt reported as never seen is never accepted later: older
    connections of its sender are fenced, and a query raises the lowest id that
    the current connection may still use. At a bound the oldest answers are
    dropped; their attempts are reported as forgotten, which the sender must
    treat as an unknown outcome. Running attempts are never dropped; the
    admission queue bounds them.
    """

    __slots__ = (
        "_bounds",
        "_clock",
        "_evicted_senders",
        "_kept",
        "_kept_bytes",
        "_running",
        "_senders",
    )

    def __init__(
        self, clock: Clock, bounds: AttemptBounds | None = None
    ) -> None:
        """Creates an empty table.

        Args:
            clock: Time source.
            bounds: Bounds of the table.
        """
        self._clock = clock
        self._bounds = bounds or AttemptBounds()
        self._senders: OrderedDict[str, _Sender[AnswerT]] = OrderedDict()
        self._kept: OrderedDict[_Kept[AnswerT], None] = OrderedDict()
        self._kept_bytes = 0
        self._running = 0
        self._evicted_senders = False

    @property
    def running(self) -> int:
        """Attempts accepted and not finished, of all senders."""
        return self._running

    @property
    def kept_answers(self) -> int:
        """Answers kept for senders that have not acknowledged them."""
        return len(self._kept)

    @property
    def kept_bytes(self) -> int:
        """Bytes of the answers kept."""
        return self._kept_bytes

    def open_connection(
        self, sender_id: str, incarnation: int, epoch: int
    ) -> Result[ConnectionToken[AnswerT], ConnectionRejection]:
        """Opens a connection and fences every older one of the sender.

        Args:
            sender_id: Authenticated node id of the sender.
            incarnation: Incarnation of the sender's process.
            epoch: Connection epoch, increasing within an incarnation.

        Returns:
            The token of the connection, or why it must be closed. The
            receiver must also close `replaced`.
        """
        sender = self._senders.get(sender_id)
        replaced = None
        if sender is not None:
            if incarnation < sender.incarnation:
                return Error(ConnectionRejection.OLD_INCARNATION)
            if incarnation == sender.incarnation and epoch <= sender.epoch:
                return Error(ConnectionRejection.OLD_EPOCH)
            replaced = sender.end_connection()
            if incarnation > sender.incarnation:
                self._retire(sender)
                sender = None
        elif not self._make_room():
            return Error(ConnectionRejection.TOO_MANY_SENDERS)
        if sender is None:
            sender = _Sender(
                incarnation,
                self._evicted_senders and sender_id not in self._senders,
            )
            self._senders[sender_id] = sender
        self._senders.move_to_end(sender_id)
        sender.epoch = epoch
        token = ConnectionToken(sender, epoch)
        token._replaced = replaced
        sender.token = token
        return Ok(token)

    def close_connection(self, token: ConnectionToken[AnswerT]) -> None:
        """Ends a connection. Its attempts keep running."""
        if token._sender.token is token:
            token._sender.end_connection()

    def accept(self, token: ConnectionToken[AnswerT], attempt_id: int) -> bool:
        """Records a call.

        Args:
            token: Connection on which the call was read.
            attempt_id: Positive id given by the sender.

        Returns:
            Whether to run the call. If not, it must be ignored without an
            answer: the same attempt may be running already.
        """
        sender = token._sender
        if token._is_fenced or attempt_id <= sender.highest:
            return False
        sender.highest = attempt_id
        token._last = attempt_id
        if not token._first:
            token._first = attempt_id
            sender.first = sender.first or attempt_id
        sender.attempts[attempt_id] = None
        self._running += 1
        return True

    def finish(
        self,
        token: ConnectionToken[AnswerT],
        attempt_id: int,
        answer: AnswerT,
        size: int = 0,
    ) -> ConnectionToken[AnswerT] | None:
        """Records the answer, which may be a refusal.

        Args:
            token: Connection on which the call was accepted.
            attempt_id: Id of the running attempt.
            answer: The answer.
            size: Bytes that the answer occupies.

        Returns:
            The connection to write the answer to. None if the sender has no
            connection, is gone, or the attempt is not running.
        """
        sender = token._sender
        if not sender.is_running(attempt_id):
            return None
        self._running -= 1
        if sender.is_replaced:
            del sender.attempts[attempt_id]
            return None
        now = self._clock.monotonic()
        kept = _Kept(
            sender, attempt_id, answer, size, now + self._bounds._retention_s
        )
        sender.attempts[attempt_id] = kept
        self._kept[kept] = None
        self._kept_bytes += size
        self._trim(now)
        current = sender.token
        if current is not None:
            current._add_answer(attempt_id)
        return current

    def acknowledge(
        self, token: ConnectionToken[AnswerT], answered: int
    ) -> None:
        """Drops answers that the sender has read.

        Args:
            token: Connection on which the sender acknowledged.
            answered: Earlier value of `token.answered`.
        """
        sender = token._sender
        while token._acknowledged < min(answered, token._answered):
            token._acknowledged += 1
            attempt_id = token._unacknowledged.popleft()
            kept = sender.attempts.get(attempt_id)
            if kept is not None:
                self._drop(kept)

    def cancel(self, token: ConnectionToken[AnswerT], attempt_id: int) -> bool:
        """Returns whether the cancelled attempt is running.

        The attempt stays running until `finish`, whose answer says whether
        it was still queued. An attempt cancelled before its call arrives is
        not accepted later.
        """
        sender = token._sender
        if token._is_fenced:
            return False
        sender.highest = max(sender.highest, attempt_id)
        return sender.is_running(attempt_id)

    def query(
        self, token: ConnectionToken[AnswerT], attempt_ids: Iterable[int]
    ) -> list[AttemptState[AnswerT]]:
        """Reports the states of attempts.

        Args:
            token: Connection on which the query was read.
            attempt_ids: Ids of attempts of this sender's incarnation.

        Returns:
            One state per id; nothing if the connection is fenced.
        """
        if token._is_fenced:
            return []
        return [self._state(token, attempt_id) for attempt_id in attempt_ids]

    def expire(self) -> None:
        """Drops answers past their retention; call about once a second."""
        self._trim(self._clock.monotonic())

    def _state(
        self, token: ConnectionToken[AnswerT], attempt_id: int
    ) -> AttemptState[AnswerT]:
        sender = token._sender
        if attempt_id in sender.attempts:
            kept = sender.attempts[attempt_id]
            if kept is None:
                return AttemptState(attempt_id, AttemptPhase.RUNNING)
            token._add_answer(attempt_id)
            return AttemptState(attempt_id, AttemptPhase.DONE, kept.answer)
        if sender.may_have_dropped(attempt_id):
            return AttemptState(attempt_id, AttemptPhase.FORGOTTEN)
        sender.highest = max(sender.highest, attempt_id)
        return AttemptState(attempt_id, AttemptPhase.NEVER_SEEN)

    def _trim(self, now: float) -> None:
        """Drops the oldest answers while a bound is exceeded."""
        bounds = self._bounds
        while self._kept:
            oldest = next(iter(self._kept))
            if (
                len(self._kept) <= bounds._answers
                and self._kept_bytes <= bounds._answer_bytes
                and oldest.expires_at > now
            ):
                return
            self._drop(oldest)

    def _drop(self, kept: _Kept[AnswerT]) -> None:
        sender = kept.sender
        del self._kept[kept]
        del sender.attempts[kept.attempt_id]
        self._kept_bytes -= kept.size
        sender.dropped_up_to = max(sender.dropped_up_to, kept.attempt_id)

    def _retire(self, sender: _Sender[AnswerT]) -> None:
        """Drops the answers of an incarnation that cannot ask again."""
        sender.is_replaced = True
        for kept in list(sender.attempts.values()):
            if kept is not None:
                self._drop(kept)

    def _make_room(self) -> bool:
        """Evicts the longest unused sender if the table is full."""
        if len(self._senders) < self._bounds._senders:
            return True
        for sender_id, sender in self._senders.items():
            if sender.token is None and None not in sender.attempts.values():
                self._retire(sender)
                del self._senders[sender_id]
                self._evicted_senders = True
                return True
        return False
