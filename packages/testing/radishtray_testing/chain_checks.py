"""Invariant checks for the call chain model and the crash model.

The checks record what happened on the network and at the upstreams. They do
not look at the state machines under test, and this module does not import
them, so that a fault there cannot hide itself from the checks.

Violations in the chain model start with the guarantee that was broken:

* G1: the retries and hedges of a request never exceed its retry budget.
* G3: a call gets at most one answer, and only to one of its own attempts.
* G4: an attempt runs at most once, and never if it is reported as not run.
* G5: a call of an at-most-once kind runs at most once over all its attempts.
* Cancellations: a cancellation reaches only the attempt that it is for.
"""

from collections import Counter, defaultdict


class ChainChecks:
    """Records the events of a chain model and collects violations."""

    __slots__ = (
        "_answered_calls",
        "_attempts_by_call",
        "_budget_by_request",
        "_not_run_attempts",
        "_retries_by_request",
        "_runs_by_at_most_once_call",
        "_started_attempts",
        "_violations",
    )

    def __init__(self) -> None:
        """Creates checks without any recorded event."""
        self._budget_by_request: dict[int, int] = {}
        self._retries_by_request: Counter[int] = Counter()
        self._attempts_by_call: defaultdict[int, set[int]] = defaultdict(set)
        self._started_attempts: set[int] = set()
        self._not_run_attempts: set[int] = set()
        self._answered_calls: set[int] = set()
        self._runs_by_at_most_once_call: Counter[int] = Counter()
        self._violations: list[str] = []

    @property
    def violations(self) -> list[str]:
        """Descriptions of violations, each starting with its guarantee."""
        return self._violations

    @property
    def sent_retry_count(self) -> int:
        """Number of retries and hedges sent for all requests."""
        return self._retries_by_request.total()

    @property
    def answered_call_count(self) -> int:
        """Number of calls that got an upstream's answer."""
        return len(self._answered_calls)

    @property
    def not_run_attempt_count(self) -> int:
        """Number of attempts that were reported as not run."""
        return len(self._not_run_attempts)

    def record_request(self, request_number: int, retry_budget: int) -> None:
        """Records a caller's request and its retry budget."""
        self._budget_by_request[request_number] = retry_budget

    def record_sent_attempt(
        self, request_number: int, call_number: int, attempt_number: int
    ) -> None:
        """Records that an attempt was written to a connection.

        The first attempt of a call is free; each later one, whether retry or
        hedge, counts against the request's retry budget.
        """
        if self._attempts_by_call[call_number]:
            self._retries_by_request[request_number] += 1
        self._attempts_by_call[call_number].add(attempt_number)
        if (
            self._retries_by_request[request_number]
            > self._budget_by_request[request_number]
        ):
            self._violations.append(
                f"G1: request {request_number} with retry budget"
                f" {self._budget_by_request[request_number]}"
                f" sent {self._retries_by_request[request_number]} retries"
            )

    def record_started_attempt(
        self, call_number: int, attempt_number: int, is_at_most_once: bool
    ) -> None:
        """Records that an upstream began to run an attempt."""
        if attempt_number in self._not_run_attempts:
            self._violations.append(
                f"G4: attempt {attempt_number} ran after it was reported as"
                " not run"
            )
        if attempt_number in self._started_attempts:
            self._violations.append(f"G4: attempt {attempt_number} ran twice")
        self._started_attempts.add(attempt_number)
        if is_at_most_once:
            self._runs_by_at_most_once_call[call_number] += 1
            if self._runs_by_at_most_once_call[call_number] > 1:
                self._violations.append(f"G5: call {call_number} ran twice")

    def record_not_run_report(self, attempt_number: int) -> None:
        """Records that a node reported an attempt as not run."""
        self._not_run_attempts.add(attempt_number)
        if attempt_number in self._started_attempts:
            self._violations.append(
                f"G4: attempt {attempt_number} was reported as not run after"
                " it ran"
            )

    def record_cancelled_attempt(
        self, intended_number: int, attempt_number: int
    ) -> None:
        """Records that a node applied a cancellation to a running attempt."""
        if attempt_number != intended_number:
            self._violations.append(
                f"Cancellations: the one for attempt {intended_number}"
                f" cancelled attempt {attempt_number}"
            )

    def record_delivered_answer(
        self, call_number: int, attempt_number: int
    ) -> None:
        """Records that a call was given the answer to an attempt."""
        if attempt_number not in self._attempts_by_call[call_number]:
            self._violations.append(
                f"G3: call {call_number} got the answer to another call's"
                f" attempt {attempt_number}"
            )
        if call_number in self._answered_calls:
            self._violations.append(f"G3: call {call_number} got two answers")
        self._answered_calls.add(call_number)


class CrashChecks:
    """Records the events of a crash model and collects violations.

    A content that crashes upstreams may do so only a limited number of times,
    and harmless contents must neither be refused nor be delayed for long.
    """

    __slots__ = (
        "_crashes_by_content",
        "_max_crashes",
        "_violations",
        "_window_s",
    )

    def __init__(self, window_s: float, max_crashes: int) -> None:
        """Creates checks.

        Args:
            window_s: Length of the sliding window, in seconds.
            max_crashes: Crashes that one content may cause within the window.
        """
        self._max_crashes = max_crashes
        self._window_s = window_s
        self._crashes_by_content: defaultdict[int, list[tuple[float, str]]] = (
            defaultdict(list)
        )
        self._violations: list[str] = []

    @property
    def violations(self) -> list[str]:
        """Descriptions of the violations found so far."""
        return self._violations

    @property
    def crash_count(self) -> int:
        """Number of crashes of upstreams so far."""
        return sum(
            len(crashes) for crashes in self._crashes_by_content.values()
        )

    def record_crash(self, content: int, upstream: str, now_s: float) -> None:
        """Records that a request crashed an upstream."""
        crashes = self._crashes_by_content[content]
        crashes.append((now_s, upstream))
        recent_upstreams = [
            crashed_upstream
            for crashed_at_s, crashed_upstream in crashes
            if crashed_at_s > now_s - self._window_s
        ]
        if len(recent_upstreams) > self._max_crashes:
            self._violations.append(
                f"content {content} crashed upstreams {recent_upstreams}"
                " within the window, more often than allowed"
            )

    def record_refusal(self, content: int, is_harmless: bool) -> None:
        """Records that a request was refused as a crash suspect."""
        if is_harmless:
            self._violations.append(
                f"harmless content {content} was refused as a crash suspect"
            )

    def record_missed_deadline(self, content: int) -> None:
        """Records that a harmless request did not run in time."""
        self._violations.append(
            f"harmless content {content} did not run in time"
        )
