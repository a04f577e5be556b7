"""States of attempts as a receiver records and reports them."""

from collections import deque
from enum import Enum
from typing import Generic, TypeVar

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


class KeptAnswer(Generic[AnswerT]):
    """A finished attempt whose answer is kept."""

    __slots__ = ("answer", "attempt_id", "expires_at", "sender", "size")

    def __init__(
        self,
        sender: "SenderRecord[AnswerT]",
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


class SenderRecord(Generic[AnswerT]):
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
        self.attempts: dict[int, KeptAnswer[AnswerT] | None] = {}

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

    def __init__(self, sender: SenderRecord[AnswerT], epoch: int) -> None:
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
