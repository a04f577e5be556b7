"""Receiver's record of attempts, by sender.

A sender numbers its attempts per receiver, upwards, in the order in which it
hands them to a socket. The receiver therefore accepts only increasing
ids, which rejects duplicates without remembering every id.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Generic

from expression import Error, Ok, Result

from radishtray_state._attempt_records import (
    AnswerT,
    AttemptBounds,
    AttemptPhase,
    AttemptState,
    ConnectionRejection,
    ConnectionToken,
    KeptAnswer,
    SenderRecord,
)
from radishtray_state._clock import Clock


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
        self._senders: OrderedDict[str, SenderRecord[AnswerT]] = OrderedDict()
        self._kept: OrderedDict[KeptAnswer[AnswerT], None] = OrderedDict()
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
            sender = SenderRecord(
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
        kept = KeptAnswer(
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

    def _drop(self, kept: KeptAnswer[AnswerT]) -> None:
        sender = kept.sender
        del self._kept[kept]
        del sender.attempts[kept.attempt_id]
        self._kept_bytes -= kept.size
        sender.dropped_up_to = max(sender.dropped_up_to, kept.attempt_id)

    def _retire(self, sender: SenderRecord[AnswerT]) -> None:
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
