"""Checks of a modelled call chain.

They see what happened on the network and at the upstreams, never the state
machines under test, and this module imports nothing of them.
"""

from collections import Counter, defaultdict


class ChainChecks:
    """Collects violations of the guarantees while a model runs."""

    __slots__ = (
        "_answered",
        "_attempts",
        "_budgets",
        "_not_run",
        "_ran",
        "_retries",
        "_runs_of_keyed_calls",
        "_violations",
    )

    def __init__(self) -> None:
        """Creates checks without any observation."""
        self._budgets: dict[int, int] = {}
        self._retries: Counter[int] = Counter()
        self._attempts: defaultdict[int, set[int]] = defaultdict(set)
        self._ran: set[int] = set()
        self._not_run: set[int] = set()
        self._answered: set[int] = set()
        self._runs_of_keyed_calls: Counter[int] = Counter()
        self._violations: list[str] = []

    @property
    def violations(self) -> list[str]:
        """Violations, each starting with the guarantee."""
        return self._violations

    @property
    def retries(self) -> int:
        """Retries and hedges sent for all requests."""
        return self._retries.total()

    @property
    def answered(self) -> int:
        """Calls that got an upstream's answer."""
        return len(self._answered)

    @property
    def not_run(self) -> int:
        """Attempts that someone called not run."""
        return len(self._not_run)

    def request_began(self, request: int, budget: int) -> None:
        """Notes a caller's request and its bound."""
        self._budgets[request] = budget

    def attempt_sent(self, request: int, call: int, attempt: int) -> None:
        """Notes that an attempt was written to a socket."""
        if self._attempts[call]:
            self._retries[request] += 1
        self._attempts[call].add(attempt)
        if self._retries[request] > self._budgets[request]:
            self._violations.append(
                f"G1: request {request} with budget {self._budgets[request]}"
                f" made {self._retries[request]} retries"
            )

    def attempt_ran(self, call: int, attempt: int, is_keyed: bool) -> None:
        """Notes that an upstream began to run an attempt."""
        if attempt in self._not_run:
            self._violations.append(f"G4: attempt {attempt} ran after all")
        if attempt in self._ran:
            self._violations.append(f"G4: attempt {attempt} ran twice")
        self._ran.add(attempt)
        if is_keyed:
            self._runs_of_keyed_calls[call] += 1
            if self._runs_of_keyed_calls[call] > 1:
                self._violations.append(f"G5: call {call} ran twice")

    def said_not_run(self, attempt: int) -> None:
        """Notes that a node called an attempt not run."""
        self._not_run.add(attempt)
        if attempt in self._ran:
            self._violations.append(f"G4: attempt {attempt} had run")

    def answer_delivered(self, call: int, attempt: int) -> None:
        """Notes which attempt's answer a call was given."""
        if attempt not in self._attempts[call]:
            self._violations.append(
                f"G3: call {call} got the answer to attempt {attempt}"
            )
        if call in self._answered:
            self._violations.append(f"G3: call {call} got two answers")
        self._answered.add(call)


class CrashChecks:
    """Collects violations of the rules for crashing requests."""

    __slots__ = ("_crashed", "_limit", "_violations", "_window_s")

    def __init__(self, window_s: float, limit: int) -> None:
        """Creates checks.

        Args:
            window_s: Time in which the number of crashes is limited.
            limit: Crashes that one content may cause in that time.
        """
        self._limit = limit
        self._window_s = window_s
        self._crashed: defaultdict[int, list[tuple[float, str]]] = defaultdict(
            list
        )
        self._violations: list[str] = []

    @property
    def violations(self) -> list[str]:
        """Violations found so far."""
        return self._violations

    @property
    def crashes(self) -> int:
        """Crashes of upstreams so far."""
        return sum(len(crashes) for crashes in self._crashed.values())

    def crashed(self, content: int, upstream: str, now: float) -> None:
        """Notes that a request crashed an upstream."""
        crashes = self._crashed[content]
        crashes.append((now, upstream))
        recent = [u for t, u in crashes if t > now - self._window_s]
        if len(recent) > self._limit:
            self._violations.append(
                f"content {content} crashed {recent} within the window"
            )

    def refused(self, content: int, is_innocent: bool) -> None:
        """Notes that a request was refused as a crash suspect."""
        if is_innocent:
            self._violations.append(f"innocent content {content} refused")

    def starved(self, content: int) -> None:
        """Notes that an innocent request did not run in time."""
        self._violations.append(f"innocent content {content} did not run")
