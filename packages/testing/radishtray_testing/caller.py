"""Open-loop load tool: Poisson arrivals of mixed kinds over several entries.

Start: `python -m radishtray_testing.caller --plan FILE --entries H:P,H:P`. It
prints `{"ready": true}`, begins at once, and at the end prints the results.
"""

import argparse
import gc
import json
import random
import sys
from itertools import accumulate
from pathlib import Path
from typing import Any, TextIO

from twisted.internet import reactor as default_reactor

from radishtray_state import Clock, RequestKey, SystemClock
from radishtray_testing.load_plan import LoadPlan
from radishtray_testing.load_result import BIN_S, KindResult
from radishtray_transport import (
    HttpClient,
    HttpResponse,
    PendingRequest,
    RequestFailure,
)

_CONNECTIONS_PER_ENTRY = 2_000
# The entry answers at the deadline with its own verdict; waiting a little
# longer for it keeps the connection usable.
_GRACE_S = 0.25
_TICK_S = 0.002


class _Request:
    """One request with its resends."""

    __slots__ = (
        "_caller",
        "_due_s",
        "_is_done",
        "_key",
        "_number",
        "_pending",
        "_resends",
        "_result",
        "_timer",
        "_unknown",
    )

    def __init__(
        self, caller: "Caller", result: KindResult, number: int, due_s: float
    ) -> None:
        self._caller = caller
        self._result = result
        self._number = number
        self._due_s = due_s
        self._resends = 0
        self._pending: PendingRequest | None = None
        self._is_done = False
        # The reason of the first answer that left the outcome open.
        self._unknown = ""
        self._key: RequestKey | None = None
        if result.kind.keyed:
            self._key = RequestKey.generate(caller.clock, caller.rng)
        left_s = due_s + result.kind.deadline_s + _GRACE_S - caller.now_s
        self._timer = caller.reactor.callLater(max(0.0, left_s), self._expire)

    def send(self) -> None:
        """Sends the request, or sends it again."""
        if self._is_done:
            return
        kind = self._result.kind
        headers = ["Test-Run-Id", self._run_id]
        if self._key is not None:
            send = "resend" if self._resends else "first"
            headers += ["Idempotency-Key", str(self._key)]
            headers += ["Radishtray-Send", send]
        self._pending = self._caller.entry().request(
            kind.method,
            kind.path.replace("{}", str(self._number)),
            headers,
            b"" if kind.method == "GET" else str(self._number).encode(),
            self._answered,
            self._failed,
        )

    @property
    def _run_id(self) -> str:
        return f"{self._caller.name}-{self._number}-{self._resends}"

    def _answered(self, answer: HttpResponse) -> None:
        if answer.status < 300:
            self._end_good()
            return
        outcome = answer.header("Radishtray-Outcome")
        reason = answer.header("Radishtray-Reason") or ""
        if outcome == "not_run":
            self._caller.not_run.append(self._run_id)
            self._resend_not_run(answer, reason)
        elif outcome == "outcome_unknown":
            self._resend_unknown(reason)
        else:
            self._end(f"failed:{answer.status}")

    def _failed(self, failure: RequestFailure) -> None:
        if failure is RequestFailure.CANCELLED:
            return
        if failure is RequestFailure.NOT_CONNECTED:
            self._resend_or_end("not_run:not_connected")
        else:
            self._resend_unknown(failure.value)

    def _resend_not_run(self, answer: HttpResponse, reason: str) -> None:
        fresh = answer.header("Radishtray-Retry-Key")
        if fresh is not None and not self._unknown:
            parsed = RequestKey.parse(fresh)
            if parsed.is_ok():
                self._key = parsed.ok
        if self._unknown:
            self._resend_or_end(f"outcome_unknown:{self._unknown}")
        else:
            self._resend_or_end(f"not_run:{reason}")

    def _resend_unknown(self, reason: str) -> None:
        self._unknown = self._unknown or reason
        outcome = f"outcome_unknown:{self._unknown}"
        if self._key is None and not self._result.kind.idempotent:
            self._end(outcome)
        else:
            self._resend_or_end(outcome)

    def _resend_or_end(self, outcome: str) -> None:
        plan = self._caller.plan
        pause_s = plan.resend_delay_s * self._caller.rng.uniform(0.5, 1.5)
        limit_s = self._due_s + self._result.kind.deadline_s
        if self._resends >= plan.resends or (
            self._caller.now_s + pause_s >= limit_s
        ):
            self._end(outcome)
            return
        self._resends += 1
        self._caller.reactor.callLater(pause_s, self.send)

    def _end_good(self) -> None:
        limit_s = self._due_s + self._result.kind.deadline_s
        self._end("good" if self._caller.now_s <= limit_s else "late")

    def _expire(self) -> None:
        if self._pending is not None:
            self._pending.cancel()
        self._end("late")

    def _end(self, outcome: str) -> None:
        if self._is_done:
            return
        self._is_done = True
        if self._timer.active():
            self._timer.cancel()
        now_s = self._caller.now_s
        self._result.ended(outcome, self._due_s, now_s, self._resends)
        self._caller.ended()


class Caller:
    """Sends the load of a plan.

    Attributes:
        reactor: The Twisted reactor.
        plan: The load.
        clock: Time source of keys.
        rng: Randomness of arrivals, kinds, entries and pauses.
        name: Prefix of run ids.
        not_run: Run ids of attempts that were answered `not_run`.
    """

    __slots__ = (
        "_active",
        "_cumulative",
        "_entries",
        "_next_s",
        "_number",
        "_on_end",
        "_results",
        "_start_s",
        "clock",
        "name",
        "not_run",
        "plan",
        "reactor",
        "rng",
    )

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        plan: LoadPlan,
        entries: list[tuple[str, int]],
        seed: int,
        name: str = "c",
    ) -> None:
        """Prepares a run; `start` begins it.

        Args:
            reactor: The Twisted reactor.
            clock: Time source of keys.
            plan: The load.
            entries: Host and port of each entry node's caller listener.
            seed: Seed of all randomness.
            name: Prefix of run ids.
        """
        self.reactor = reactor
        self.plan = plan
        self.clock = clock
        self.rng = random.Random(seed)
        self.name = name
        self.not_run: list[str] = []
        self._entries = [
            HttpClient(reactor, host, port, _CONNECTIONS_PER_ENTRY)
            for host, port in entries
        ]
        self._cumulative = list(accumulate(kind.rate for kind in plan.kinds))
        self._results = [KindResult(kind) for kind in plan.kinds]
        self._number = 0
        self._active = 0
        self._start_s = 0.0
        self._next_s = 0.0
        self._on_end: Any = None

    @property
    def now_s(self) -> float:
        """Seconds since the start of the run."""
        return float(self.reactor.seconds()) - self._start_s

    def entry(self) -> HttpClient:
        """Returns the client of a random entry node."""
        return self.rng.choice(self._entries)

    def start(self, on_end: Any) -> None:
        """Begins the run.

        Args:
            on_end: Called with the results as JSON values.
        """
        self._on_end = on_end
        self._start_s = float(self.reactor.seconds())
        self._schedule_next(0.0)
        self._tick()

    def ended(self) -> None:
        """Notes the end of one request."""
        self._active -= 1
        self._end_if_idle()

    def _schedule_next(self, after_s: float) -> None:
        rate = self.plan.rate * max(self.plan.factor_at(after_s), 1e-9)
        self._next_s = after_s + self.rng.expovariate(rate)

    def _tick(self) -> None:
        # Arrivals that became due since the last tick are sent together, so
        # the load stays open-loop when the process was busy.
        while self._next_s <= self.now_s and self._next_s < self.plan.seconds:
            self._arrive(self._next_s)
            self._schedule_next(self._next_s)
        if self._next_s < self.plan.seconds:
            self.reactor.callLater(_TICK_S, self._tick)
        else:
            self._end_if_idle()

    def _arrive(self, due_s: float) -> None:
        result = self.rng.choices(self._results, cum_weights=self._cumulative)[
            0
        ]
        result.arrived(due_s)
        self._number += 1
        self._active += 1
        _Request(self, result, self._number, due_s).send()

    def _end_if_idle(self) -> None:
        is_over = self._next_s >= self.plan.seconds
        if is_over and not self._active and self._on_end is not None:
            on_end, self._on_end = self._on_end, None
            on_end(self.to_json())

    def to_json(self) -> dict[str, Any]:
        """Returns the results as JSON values."""
        bins = round(self.plan.seconds / BIN_S)
        return {
            "kinds": [result.to_json(bins) for result in self._results],
            "not_run": self.not_run,
        }


def _parse_entries(text: str) -> list[tuple[str, int]]:
    entries = []
    for part in text.split(","):
        host, _, port = part.rpartition(":")
        entries.append((host, int(port)))
    return entries


def main(
    argv: list[str] | None = None,
    reactor: Any = default_reactor,
    output: TextIO = sys.stdout,
) -> None:
    """Runs one load.

    Args:
        argv: Arguments; those of the process by default.
        reactor: The reactor to run.
        output: Receives the JSON lines.
    """
    parser = argparse.ArgumentParser(prog="caller")
    parser.add_argument("--plan", type=Path, required=True)
    parser.add_argument("--entries", type=_parse_entries, required=True)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    plan = LoadPlan.parse(options.plan.read_text(encoding="utf-8"))
    caller = Caller(reactor, SystemClock(), plan, options.entries, options.seed)

    def end(results: dict[str, Any]) -> None:
        print(json.dumps(results), file=output, flush=True)
        reactor.stop()

    def start() -> None:
        print(json.dumps({"ready": True}), file=output, flush=True)
        gc.freeze()
        caller.start(end)

    reactor.callWhenRunning(start)
    reactor.run()


if __name__ == "__main__":
    main()
