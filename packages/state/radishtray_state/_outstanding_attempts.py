"""The sender's record of attempts that one receiver has not answered yet."""

import secrets
from collections.abc import Iterable
from enum import Enum
from typing import Generic, TypeVar

from radishtray_state._attempt_records import (
    AnswerT,
    AttemptPhase,
    AttemptState,
)

ContextT = TypeVar("ContextT")

# Together, the salt and the counter fill a positive signed 64-bit integer.
_SALT_BITS = 23
_COUNTER_BITS = 40


class AttemptVerdict(Enum):
    """What the sender may report about a settled attempt."""

    NOT_RUN = "not_run"
    """The receiver reported that the attempt never ran and never will."""

    ANSWERED = "answered"
    """The receiver reported the answer."""

    UNKNOWN = "unknown"
    """The attempt may have run."""


class SettledAttempt(Generic[ContextT, AnswerT]):
    """An attempt whose wait ended without an answer frame."""

    __slots__ = ("_answer", "_attempt_id", "_context", "_verdict")

    def __init__(
        self,
        attempt_id: int,
        context: ContextT,
        verdict: AttemptVerdict,
        answer: AnswerT | None = None,
    ) -> None:
        """Creates a settled attempt.

        Args:
            attempt_id: Id of the attempt.
            context: The object given to `hand_over`.
            verdict: What the sender may report.
            answer: The answer, if the verdict is `ANSWERED`.
        """
        self._attempt_id = attempt_id
        self._context = context
        self._verdict = verdict
        self._answer = answer

    @property
    def attempt_id(self) -> int:
        """Id of the attempt."""
        return self._attempt_id

    @property
    def context(self) -> ContextT:
        """The object given to `hand_over`."""
        return self._context

    @property
    def verdict(self) -> AttemptVerdict:
        """What the sender may report."""
        return self._verdict

    @property
    def answer(self) -> AnswerT | None:
        """The answer, if the verdict is `ANSWERED`."""
        return self._answer


class OpenResult(Generic[ContextT, AnswerT]):
    """Attempts that need action after a connection has been opened."""

    __slots__ = ("_lost_attempts", "_query_ids")

    def __init__(
        self,
        query_ids: list[int],
        lost_attempts: list[SettledAttempt[ContextT, AnswerT]],
    ) -> None:
        """Creates the result of `OutstandingAttempts.opened`.

        Args:
            query_ids: Ids to query before any call is sent.
            lost_attempts: Attempts sent to an older receiver process.
        """
        self._query_ids = query_ids
        self._lost_attempts = lost_attempts

    @property
    def query_ids(self) -> list[int]:
        """Ids to query before any call is sent on the connection."""
        return self._query_ids

    @property
    def lost_attempts(self) -> list[SettledAttempt[ContextT, AnswerT]]:
        """Attempts sent to an older receiver process; all unknown."""
        return self._lost_attempts


class AttemptSequence:
    """Numbers the attempts and the connections that one process opens.

    All links of a process share one sequence. Receivers keep records by sender
    process, so a link that is closed and opened again must not use a number
    twice.
    """

    __slots__ = ("_first_id", "_last_epoch", "_last_id")

    def __init__(self, salt: int) -> None:
        """Creates a sequence without issued numbers.

        Args:
            salt: Number from 0 to 2**23 - 1 in the upper bits of every id.
                With a different salt for each process, an answer that is
                written to the connection of another sender does not match an
                attempt there by chance.

        Raises:
            ValueError: If the salt is out of range.
        """
        if not 0 <= salt < 2**_SALT_BITS:
            raise ValueError(f"salt {salt} does not fit into {_SALT_BITS} bits")
        self._first_id = (salt << _COUNTER_BITS) + 1
        self._last_id = self._first_id - 1
        self._last_epoch = 0

    @classmethod
    def with_random_salt(cls) -> "AttemptSequence":
        """Creates a sequence for a new process."""
        return cls(secrets.randbits(_SALT_BITS))

    @property
    def last_id(self) -> int:
        """The attempt id that was issued last."""
        return self._last_id

    def next_id(self) -> int:
        """Issues the id of an attempt, higher than all before it."""
        self._last_id += 1
        return self._last_id

    def next_epoch(self) -> int:
        """Issues the epoch of a connection, higher than all before it."""
        self._last_epoch += 1
        return self._last_epoch

    def was_issued(self, attempt_id: int) -> bool:
        """Returns whether an attempt id was issued."""
        return self._first_id <= attempt_id <= self._last_id


class OutstandingAttempts(Generic[ContextT, AnswerT]):
    """Attempts written to a connection to one receiver and not yet settled.

    A request without an attempt in this record was not sent and may be
    reported as `not_run`. An attempt in the record ends in exactly one of four
    ways: `answered`, `settle`, `opened` or `receiver_lost` (newer receiver
    process), `give_up` (deadline or cancellation). Answers and states that
    arrive for it afterwards are ignored.
    """

    __slots__ = (
        "_current",
        "_earlier",
        "_epoch",
        "_is_open",
        "_late_answers",
        "_mismatched_answers",
        "_receiver_incarnation",
        "_sequence",
    )

    def __init__(self, sequence: AttemptSequence) -> None:
        """Creates an empty record without a connection.

        Args:
            sequence: Numbers of the sending process.
        """
        self._sequence = sequence
        self._current: dict[int, ContextT] = {}
        self._earlier: dict[int, ContextT] = {}
        self._epoch = 0
        self._is_open = False
        self._receiver_incarnation = 0
        self._late_answers = 0
        self._mismatched_answers = 0

    @property
    def outstanding(self) -> int:
        """Number of attempts sent and not settled."""
        return len(self._current) + len(self._earlier)

    @property
    def receiver_incarnation(self) -> int:
        """Incarnation of the receiver's process; 0 if none is known."""
        return self._receiver_incarnation

    @property
    def late_answers(self) -> int:
        """Ignored answers to settled attempts or on older connections."""
        return self._late_answers

    @property
    def mismatched_answers(self) -> int:
        """Ignored answers to attempts that were never sent."""
        return self._mismatched_answers

    def next_epoch(self) -> int:
        """Returns the epoch for a new connection to this receiver."""
        return self._sequence.next_epoch()

    def opened(
        self, epoch: int, receiver_incarnation: int
    ) -> OpenResult[ContextT, AnswerT] | None:
        """Makes an authenticated connection the current one.

        The sender closes the previous connection, if it is still open.

        Args:
            epoch: Epoch of the connection.
            receiver_incarnation: Incarnation that the receiver reported.

        Returns:
            The attempts to query and those that are lost. None if a newer
            connection or a newer receiver process is known; the sender then
            closes this connection.
        """
        if epoch <= self._epoch:
            return None
        if receiver_incarnation < self._receiver_incarnation:
            return None
        self._epoch = epoch
        self._is_open = True
        lost: list[SettledAttempt[ContextT, AnswerT]] = []
        if receiver_incarnation > self._receiver_incarnation:
            lost = self.receiver_lost()
            self._is_open = True
            self._receiver_incarnation = receiver_incarnation
        self._earlier.update(self._current)
        self._current.clear()
        return OpenResult(list(self._earlier), lost)

    def hand_over(self, context: ContextT) -> int | None:
        """Records an attempt just before its frame is written.

        Args:
            context: Object to return when the attempt ends; not None.

        Returns:
            The attempt's id, or None if no connection is open. In that case
            nothing is recorded, and the attempt must not be sent.
        """
        if not self._is_open:
            return None
        attempt_id = self._sequence.next_id()
        self._current[attempt_id] = context
        return attempt_id

    def closed(self, epoch: int) -> None:
        """Records the end of a connection, which settles no attempt."""
        if epoch == self._epoch:
            self._is_open = False

    def answered(self, epoch: int, attempt_id: int) -> ContextT | None:
        """Matches an answer to its attempt.

        Args:
            epoch: Epoch of the connection on which the answer was read.
            attempt_id: Attempt id in the answer.

        Returns:
            The attempt's context, or None if the answer must be ignored.
        """
        if epoch == self._epoch:
            context = self._current.pop(attempt_id, None)
            if context is None:
                context = self._earlier.pop(attempt_id, None)
            if context is not None:
                return context
        if self._sequence.was_issued(attempt_id):
            self._late_answers += 1
        else:
            self._mismatched_answers += 1
        return None

    def settle(
        self, epoch: int, states: Iterable[AttemptState[AnswerT]]
    ) -> list[SettledAttempt[ContextT, AnswerT]]:
        """Applies the states that the receiver reported for a query.

        Args:
            epoch: Epoch of the connection on which the states were read.
            states: States of the queried attempts.

        Returns:
            The attempts that are now settled. An attempt that is running or
            not among the states stays outstanding.
        """
        settled: list[SettledAttempt[ContextT, AnswerT]] = []
        if epoch != self._epoch:
            return settled
        for state in states:
            verdict = _VERDICTS[state.phase]
            if verdict is None or state.attempt_id not in self._earlier:
                continue
            answer = state.answer
            if verdict is not AttemptVerdict.ANSWERED:
                answer = None
            elif answer is None:
                verdict = AttemptVerdict.UNKNOWN
            context = self._earlier.pop(state.attempt_id)
            settled.append(
                SettledAttempt(state.attempt_id, context, verdict, state.answer)
            )
        return settled

    def find(self, attempt_id: int) -> ContextT | None:
        """Returns the context of an attempt, or None if it is settled."""
        context = self._current.get(attempt_id)
        return self._earlier.get(attempt_id) if context is None else context

    def give_up(self, attempt_id: int) -> ContextT | None:
        """Stops waiting for an attempt; its outcome is then unknown.

        Returns:
            The attempt's context, or None if it is already settled.
        """
        context = self._current.pop(attempt_id, None)
        if context is None:
            context = self._earlier.pop(attempt_id, None)
        return context

    def receiver_lost(self) -> list[SettledAttempt[ContextT, AnswerT]]:
        """Settles every attempt as unknown because the receiver is gone."""
        lost = [
            SettledAttempt[ContextT, AnswerT](
                attempt_id, context, AttemptVerdict.UNKNOWN
            )
            for attempts in (self._earlier, self._current)
            for attempt_id, context in attempts.items()
        ]
        self._earlier.clear()
        self._current.clear()
        self._is_open = False
        return lost


_VERDICTS = {
    AttemptPhase.NEVER_SEEN: AttemptVerdict.NOT_RUN,
    AttemptPhase.RUNNING: None,
    AttemptPhase.DONE: AttemptVerdict.ANSWERED,
    AttemptPhase.FORGOTTEN: AttemptVerdict.UNKNOWN,
}
