"""The receiver's table of attempts, by sender.

A sender assigns increasing ids to the attempts for one receiver, in the order
in which it writes them to a socket. The receiver therefore accepts only
increasing ids, which rejects duplicates without storing every id.
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
    the current connection may still use. If a limit is exceeded, the oldest
    answers are dropped. Their attempts are reported as forgotten, which the
    sender must treat as an unknown outcome. Running attempts are never
    dropped; the admission queue limits their number.
    """

    __slots__ = (
        "_bounds",
        "_clock",
        "_has_evicted_sender",
        "_kept_answers",
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
            bounds: Limits of the table.
        """
        self._clock = clock
        self._bounds = bounds or AttemptBounds()
        self._senders: OrderedDict[str, SenderRecord[AnswerT]] = OrderedDict()
        self._kept_answers: OrderedDict[KeptAnswer[AnswerT], None] = (
            OrderedDict()
        )
        self._kept_bytes = 0
        self._running = 0
        self._has_evicted_sender = False

    @property
    def running_count(self) -> int:
        """Number of accepted, unfinished attempts of all senders."""
        return self._running

    @property
    def kept_answers(self) -> int:
        """Number of kept answers, which their senders may still query."""
        return len(self._kept_answers)

    @property
    def kept_bytes(self) -> int:
        """Size of all kept answers, in bytes."""
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
            The token of the connection, or why the receiver must close it. The
            receiver must also close the connection `replaced` of the token.
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
                self._mark_replaced(sender)
                sender = None
        elif not self._evict_for_new_sender():
            return Error(ConnectionRejection.TOO_MANY_SENDERS)
        if sender is None:
            sender = SenderRecord(
                incarnation,
                self._has_evicted_sender and sender_id not in self._senders,
            )
            self._senders[sender_id] = sender
        self._senders.move_to_end(sender_id)
        sender.epoch = epoch
        token = ConnectionToken(sender, epoch)
        token._replaced = replaced
        sender.token = token
        return Ok(token)

    def close_connection(self, token: ConnectionToken[AnswerT]) -> None:
        """Fences a connection that was closed; its attempts keep running."""
        if token._sender.token is token:
            token._sender.end_connection()

    def accept(self, token: ConnectionToken[AnswerT], attempt_id: int) -> bool:
        """Records an attempt as running, unless its id was used before.

        Args:
            token: Connection on which the call was read.
            attempt_id: Positive id that the sender assigned.

        Returns:
            Whether to run the call. If not, the receiver must ignore it
            without an answer, because the same attempt may be running already.
        """
        sender = token._sender
        if token._is_fenced or attempt_id <= sender.rejected_up_to:
            return False
        sender.rejected_up_to = attempt_id
        token._last = attempt_id
        if not token._first:
            token._first = attempt_id
            sender.first_id = sender.first_id or attempt_id
        sender.attempts[attempt_id] = None
        self._running += 1
        return True

    def finish(
        self,
        token: ConnectionToken[AnswerT],
        attempt_id: int,
        answer: AnswerT,
        size_bytes: int = 0,
    ) -> ConnectionToken[AnswerT] | None:
        """Records the answer, which may be a refusal.

        Args:
            token: Connection on which the call was accepted.
            attempt_id: Id of the running attempt.
            answer: The answer.
            size_bytes: Memory of the answer.

        Returns:
            The connection to write the answer to. None if the sender has no
            connection or has been replaced by a newer process, or if the
            attempt is not running.
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
            sender,
            attempt_id,
            answer,
            size_bytes,
            now + self._bounds._retention_s,
        )
        sender.attempts[attempt_id] = kept
        self._kept_answers[kept] = None
        self._kept_bytes += size_bytes
        self._drop_excess_answers(now)
        current = sender.token
        if current is not None:
            current._add_answer(attempt_id)
        return current

    def acknowledge(
        self, token: ConnectionToken[AnswerT], answer_count: int
    ) -> None:
        """Drops answers that the sender has read.

        Args:
            token: Connection on which the sender acknowledged them.
            answer_count: Earlier value of `token.answer_count`.
        """
        sender = token._sender
        while token._acknowledged_count < min(
            answer_count, token._answer_count
        ):
            token._acknowledged_count += 1
            attempt_id = token._unacknowledged_ids.popleft()
            kept = sender.attempts.get(attempt_id)
            if kept is not None:
                self._drop_answer(kept)

    def cancel(self, token: ConnectionToken[AnswerT], attempt_id: int) -> bool:
        """Records a cancellation and returns whether the attempt is running.

        The attempt stays running until `finish`, whose answer tells whether
        it was still queued. An attempt that is cancelled before its call
        arrives is not accepted later.
        """
        sender = token._sender
        if token._is_fenced:
            return False
        sender.rejected_up_to = max(sender.rejected_up_to, attempt_id)
        return sender.is_running(attempt_id)

    def query(
        self, token: ConnectionToken[AnswerT], attempt_ids: Iterable[int]
    ) -> list[AttemptState[AnswerT]]:
        """Reports the states of attempts.

        Args:
            token: Connection on which the query was read.
            attempt_ids: Ids of attempts of this sender's incarnation.

        Returns:
            One state for each id; none if the connection is fenced.
        """
        if token._is_fenced:
            return []
        return [
            self._report_state(token, attempt_id) for attempt_id in attempt_ids
        ]

    def expire(self) -> None:
        """Drops answers past their retention; call about once a second."""
        self._drop_excess_answers(self._clock.monotonic())

    def _report_state(
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
        sender.rejected_up_to = max(sender.rejected_up_to, attempt_id)
        return AttemptState(attempt_id, AttemptPhase.NEVER_SEEN)

    def _drop_excess_answers(self, now: float) -> None:
        """Drops expired answers, and the oldest while a limit is exceeded."""
        bounds = self._bounds
        while self._kept_answers:
            oldest = next(iter(self._kept_answers))
            if (
                len(self._kept_answers) <= bounds._max_answers
                and self._kept_bytes <= bounds._max_answer_bytes
                and oldest.expires_at > now
            ):
                return
            self._drop_answer(oldest)

    def _drop_answer(self, kept: KeptAnswer[AnswerT]) -> None:
        sender = kept.sender
        del self._kept_answers[kept]
        del sender.attempts[kept.attempt_id]
        self._kept_bytes -= kept.size_bytes
        sender.dropped_up_to = max(sender.dropped_up_to, kept.attempt_id)

    def _mark_replaced(self, sender: SenderRecord[AnswerT]) -> None:
        """Marks a sender as replaced and drops its answers.

        A replaced incarnation cannot query them any more.
        """
        sender.is_replaced = True
        for kept in list(sender.attempts.values()):
            if kept is not None:
                self._drop_answer(kept)

    def _evict_for_new_sender(self) -> bool:
        """Evicts the least recently connected idle sender if necessary.

        Returns:
            Whether another sender can be added within the limit.
        """
        if len(self._senders) < self._bounds._max_senders:
            return True
        for sender_id, sender in self._senders.items():
            if sender.token is None and None not in sender.attempts.values():
                self._mark_replaced(sender)
                del self._senders[sender_id]
                self._has_evicted_sender = True
                return True
        return False
