"""Records of received attempts and the states reported to their sender.

An attempt is one transmission of a call over a connection between two nodes.
"""

from collections import deque
from enum import Enum
from typing import Generic, TypeVar

AnswerT = TypeVar("AnswerT")

# Older ranges are merged. Ids between them then count as possibly accepted,
# which is safe: they are reported as forgotten instead of never seen.
_MAX_PAST_RANGES = 4


class AttemptPhase(Enum):
    """What a receiver reports about an attempt."""

    NEVER_SEEN = "never_seen"
    """The attempt was not accepted and never will be."""

    RUNNING = "running"
    """The attempt was accepted; its answer follows on this connection."""

    DONE = "done"
    """The attempt was answered; the report contains the answer."""

    FORGOTTEN = "forgotten"
    """The attempt may have been accepted, but has no record any more."""


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
            attempt_id: Id that the sender assigned to the attempt.
            phase: How far the attempt has got.
            answer: The answer, if the phase is `DONE`.
        """
        self._attempt_id = attempt_id
        self._phase = phase
        self._answer = answer

    @property
    def attempt_id(self) -> int:
        """Id that the sender assigned to the attempt."""
        return self._attempt_id

    @property
    def phase(self) -> AttemptPhase:
        """How far the attempt has got."""
        return self._phase

    @property
    def answer(self) -> AnswerT | None:
        """The answer, if the phase is `DONE`."""
        return self._answer


class ConnectionRejection(Enum):
    """Why the receiver rejects and closes a new connection."""

    OLD_INCARNATION = "old_incarnation"
    """A newer process of the sender has already connected."""

    OLD_EPOCH = "old_epoch"
    """A connection with this epoch or a later one was already opened."""

    TOO_MANY_SENDERS = "too_many_senders"
    """The table is full of senders with connections or running attempts."""


class AttemptBounds:
    """Limits of an `AttemptTable`."""

    __slots__ = (
        "_max_answer_bytes",
        "_max_answers",
        "_max_senders",
        "_retention_s",
    )

    def __init__(
        self,
        max_answers: int = 4096,
        max_answer_bytes: int = 8 * 2**20,
        retention_s: float = 30.0,
        max_senders: int = 8192,
    ) -> None:
        """Creates limits.

        Args:
            max_answers: Maximum number of kept answers of all senders.
            max_answer_bytes: Maximum size of all kept answers, in bytes.
            retention_s: Time for which an answer is kept, in seconds.
            max_senders: Maximum number of senders with a record, connected or
                not.

        Raises:
            ValueError: If a limit is not positive.
        """
        if min(max_answers, max_answer_bytes, retention_s, max_senders) <= 0:
            raise ValueError("attempt bounds must be positive")
        self._max_answers = max_answers
        self._max_answer_bytes = max_answer_bytes
        self._retention_s = retention_s
        self._max_senders = max_senders

    @property
    def max_answers(self) -> int:
        """Maximum number of kept answers of all senders."""
        return self._max_answers

    @property
    def max_answer_bytes(self) -> int:
        """Maximum size of all kept answers, in bytes."""
        return self._max_answer_bytes

    @property
    def retention_s(self) -> float:
        """Time for which an answer is kept, in seconds."""
        return self._retention_s

    @property
    def max_senders(self) -> int:
        """Maximum number of senders with a record, connected or not."""
        return self._max_senders


class KeptAnswer(Generic[AnswerT]):
    """A finished attempt whose answer is kept for queries."""

    __slots__ = ("answer", "attempt_id", "expires_at", "sender", "size_bytes")

    def __init__(
        self,
        sender: "SenderRecord[AnswerT]",
        attempt_id: int,
        answer: AnswerT,
        size_bytes: int,
        expires_at: float,
    ) -> None:
        self.sender = sender
        self.attempt_id = attempt_id
        self.answer = answer
        self.size_bytes = size_bytes
        self.expires_at = expires_at


class SenderRecord(Generic[AnswerT]):
    """Record of one incarnation of a sender.

    Attributes:
        incarnation: Incarnation of the sender's process.
        epoch: Highest connection epoch seen.
        token: The only connection that is not fenced, if any.
        rejected_up_to: Ids up to this one are not accepted any more.
        first_id: First id accepted since this record was made, or 0.
        dropped_up_to: Highest finished id whose answer was dropped, or 0.
        past_ranges: First and last accepted id of each ended connection,
            oldest first. Every accepted id lies in one of them or in the
            range of the current connection.
        is_recreated: Whether an earlier record of this sender may have been
            evicted.
        is_replaced: Whether a newer incarnation has connected.
        attempts: Attempts by id; the value of a running one is None.
    """

    __slots__ = (
        "attempts",
        "dropped_up_to",
        "epoch",
        "first_id",
        "incarnation",
        "is_recreated",
        "is_replaced",
        "past_ranges",
        "rejected_up_to",
        "token",
    )

    def __init__(self, incarnation: int, is_recreated: bool) -> None:
        self.incarnation = incarnation
        self.epoch = 0
        self.token: ConnectionToken[AnswerT] | None = None
        self.rejected_up_to = 0
        self.first_id = 0
        self.dropped_up_to = 0
        self.past_ranges: list[tuple[int, int]] = []
        self.is_recreated = is_recreated
        self.is_replaced = False
        self.attempts: dict[int, KeptAnswer[AnswerT] | None] = {}

    def is_running(self, attempt_id: int) -> bool:
        """Returns whether the attempt was accepted and is not finished."""
        attempts = self.attempts
        return attempt_id in attempts and attempts[attempt_id] is None

    def may_have_dropped(self, attempt_id: int) -> bool:
        """Returns whether an attempt without a record may have been accepted.

        Args:
            attempt_id: Id that is not in `attempts`.
        """
        if self.is_recreated and not 0 < self.first_id <= attempt_id:
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
        """Fences the current connection, so that its frames are ignored.

        Returns:
            The fenced connection, or None if there was none.
        """
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
    """One authenticated connection from a sender.

    It is a fencing token: `AttemptTable` ignores calls, cancellations and
    queries on a connection that has ended or that a newer one has replaced.
    """

    __slots__ = (
        "_acknowledged_count",
        "_answer_count",
        "_epoch",
        "_first",
        "_is_fenced",
        "_last",
        "_replaced",
        "_sender",
        "_unacknowledged_ids",
    )

    def __init__(self, sender: SenderRecord[AnswerT], epoch: int) -> None:
        """Creates a token; called only by `AttemptTable.open_connection`."""
        self._sender = sender
        self._epoch = epoch
        self._is_fenced = False
        self._replaced: ConnectionToken[AnswerT] | None = None
        self._first = 0
        self._last = 0
        self._answer_count = 0
        self._acknowledged_count = 0
        self._unacknowledged_ids: deque[int] = deque()

    @property
    def epoch(self) -> int:
        """Connection epoch that the sender assigned."""
        return self._epoch

    @property
    def is_fenced(self) -> bool:
        """Whether a newer connection has replaced this one, or it has ended.

        Frames of a fenced connection must be ignored.
        """
        return self._is_fenced

    @property
    def replaced(self) -> "ConnectionToken[AnswerT] | None":
        """The connection that this one fenced; the receiver closes it."""
        return self._replaced

    @property
    def answer_count(self) -> int:
        """Number of answers written to this connection so far.

        A receiver that sends a ping stores this number. The matching pong
        acknowledges that many answers, because the sender has read them before
        the ping.
        """
        return self._answer_count

    def _add_answer(self, attempt_id: int) -> None:
        self._answer_count += 1
        self._unacknowledged_ids.append(attempt_id)
