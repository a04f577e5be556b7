"""Open-loop load generator with Poisson arrivals.

Requests arrive independently of earlier answers. The kind of each request is
drawn by rate and its entry node uniformly.

Start: `python -m radishtray_testing.caller --plan FILE --entries H:P,H:P`. It
prints `{"ready": true}`, starts the load at once and prints the results as one
line of JSON at the end.
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

_MAX_CONNECTIONS_PER_ENTRY = 2_000
# Time to wait for an answer after the deadline. The entry node answers at the
# deadline itself; cancelling the request before that would lose the connection.
_ANSWER_GRACE_S = 0.25
_TICK_INTERVAL_S = 0.002


class _Request:
    """One request and its resends."""

    __slots__ = (
        "_arrival_s",
        "_caller",
        "_is_done",
        "_key",
        "_number",
        "_pending",
        "_resend_count",
        "_result",
        "_timer",
        "_unknown_reason",
    )

    def __init__(
        self,
        caller: "Caller",
        result: KindResult,
        number: int,
        arrival_s: float,
    ) -> None:
        self._caller = caller
        self._result = result
        self._number = number
        self._arrival_s = arrival_s
        self._resend_count = 0
        self._pending: PendingRequest | None = None
        self._is_done = False
        # Reason of the first answer with an unknown outcome. Once it is set, a
        # later `not_run` does not make the outcome known.
        self._unknown_reason = ""
        self._key: RequestKey | None = None
        if result.kind.keyed:
            self._key = RequestKey.generate(caller.clock, caller.rng)
        remaining_s = (
            arrival_s + result.kind.deadline_s + _ANSWER_GRACE_S - caller.now_s
        )
        self._timer = caller.reactor.callLater(
            max(0.0, remaining_s), self._on_timeout
        )

    def send(self) -> None:
        """Sends the request for the first time or as a resend."""
        if self._is_done:
            return
        kind = self._result.kind
        headers = ["Test-Run-Id", self._run_id]
        if self._key is not None:
            send_header = "resend" if self._resend_count else "first"
            headers += ["Idempotency-Key", str(self._key)]
            headers += ["Radishtray-Send", send_header]
        self._pending = self._caller.choose_entry().request(
            kind.method,
            kind.path.replace("{}", str(self._number)),
            headers,
            b"" if kind.method == "GET" else str(self._number).encode(),
            self._on_answer,
            self._on_failure,
        )

    @property
    def _run_id(self) -> str:
        return (
            f"{self._caller.run_id_prefix}-{self._number}-{self._resend_count}"
        )

    def _on_answer(self, answer: HttpResponse) -> None:
        if answer.status < 300:
            self._end_success()
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

    def _on_failure(self, failure: RequestFailure) -> None:
        if failure is RequestFailure.CANCELLED:
            return
        if failure is RequestFailure.NOT_CONNECTED:
            self._resend_or_end("not_run:not_connected")
        else:
            self._resend_unknown(failure.value)

    def _resend_not_run(self, answer: HttpResponse, reason: str) -> None:
        # After an unknown outcome the key stays the same, because an earlier
        # attempt may have run with it.
        retry_key = answer.header("Radishtray-Retry-Key")
        if retry_key is not None and not self._unknown_reason:
            parsed = RequestKey.parse(retry_key)
            if parsed.is_ok():
                self._key = parsed.ok
        if self._unknown_reason:
            self._resend_or_end(f"outcome_unknown:{self._unknown_reason}")
        else:
            self._resend_or_end(f"not_run:{reason}")

    def _resend_unknown(self, reason: str) -> None:
        self._unknown_reason = self._unknown_reason or reason
        outcome = f"outcome_unknown:{self._unknown_reason}"
        # Without a key, a resend could run the request a second time.
        if self._key is None and not self._result.kind.idempotent:
            self._end(outcome)
        else:
            self._resend_or_end(outcome)

    def _resend_or_end(self, outcome: str) -> None:
        plan = self._caller.plan
        delay_s = plan.resend_delay_s * self._caller.rng.uniform(0.5, 1.5)
        deadline_at_s = self._arrival_s + self._result.kind.deadline_s
        if self._resend_count >= plan.max_resends or (
            self._caller.now_s + delay_s >= deadline_at_s
        ):
            self._end(outcome)
            return
        self._resend_count += 1
        self._caller.reactor.callLater(delay_s, self.send)

    def _end_success(self) -> None:
        deadline_at_s = self._arrival_s + self._result.kind.deadline_s
        self._end("good" if self._caller.now_s <= deadline_at_s else "late")

    def _on_timeout(self) -> None:
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
        self._result.record_end(
            outcome, self._arrival_s, now_s, self._resend_count
        )
        self._caller.request_ended()


class Caller:
    """Sends the load of a plan and records the results.

    Attributes:
        reactor: The Twisted reactor.
        plan: The load to send.
        clock: Time source for idempotency keys.
        rng: Random generator for arrivals, kinds, keys, entries and resend
            delays.
        run_id_prefix: Prefix of run ids.
        not_run: Run ids of attempts that were answered `not_run`.
    """

    __slots__ = (
        "_cumulative_rates",
        "_entry_clients",
        "_last_request_number",
        "_next_arrival_s",
        "_on_end",
        "_pending_count",
        "_results",
        "_start_s",
        "clock",
        "not_run",
        "plan",
        "reactor",
        "rng",
        "run_id_prefix",
    )

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        plan: LoadPlan,
        entries: list[tuple[str, int]],
        seed: int,
        run_id_prefix: str = "c",
    ) -> None:
        """Prepares the load; `start` begins to send it.

        Args:
            reactor: The Twisted reactor.
            clock: Time source for idempotency keys.
            plan: The load to send.
            entries: Host and port of each entry node's caller listener.
            seed: Seed of the random generator.
            run_id_prefix: Prefix of run ids.
        """
        self.reactor = reactor
        self.plan = plan
        self.clock = clock
        self.rng = random.Random(seed)
        self.run_id_prefix = run_id_prefix
        self.not_run: list[str] = []
        self._entry_clients = [
            HttpClient(reactor, host, port, _MAX_CONNECTIONS_PER_ENTRY)
            for host, port in entries
        ]
        self._cumulative_rates = list(
            accumulate(kind.rate for kind in plan.kinds)
        )
        self._results = [KindResult(kind) for kind in plan.kinds]
        self._last_request_number = 0
        self._pending_count = 0
        self._start_s = 0.0
        self._next_arrival_s = 0.0
        self._on_end: Any = None

    @property
    def now_s(self) -> float:
        """Seconds since the start of the run."""
        return float(self.reactor.seconds()) - self._start_s

    def choose_entry(self) -> HttpClient:
        """Returns the client of an entry node drawn at random."""
        return self.rng.choice(self._entry_clients)

    def start(self, on_end: Any) -> None:
        """Starts to send the load.

        Args:
            on_end: Called with the results as JSON values when all requests
                have ended.
        """
        self._on_end = on_end
        self._start_s = float(self.reactor.seconds())
        self._draw_next_arrival(0.0)
        self._tick()

    def request_ended(self) -> None:
        """Records that one request has ended."""
        self._pending_count -= 1
        self._end_if_complete()

    def _draw_next_arrival(self, after_s: float) -> None:
        # The factor is 0 after the last phase; the rate has to be positive.
        rate = self.plan.total_rate * max(self.plan.factor_at(after_s), 1e-9)
        self._next_arrival_s = after_s + self.rng.expovariate(rate)

    def _tick(self) -> None:
        # Sends all arrivals since the last tick, so that the load stays
        # open-loop when this process is late.
        while (
            self._next_arrival_s <= self.now_s
            and self._next_arrival_s < self.plan.seconds
        ):
            self._send_arrival(self._next_arrival_s)
            self._draw_next_arrival(self._next_arrival_s)
        if self._next_arrival_s < self.plan.seconds:
            self.reactor.callLater(_TICK_INTERVAL_S, self._tick)
        else:
            self._end_if_complete()

    def _send_arrival(self, arrival_s: float) -> None:
        result = self.rng.choices(
            self._results, cum_weights=self._cumulative_rates
        )[0]
        result.record_arrival(arrival_s)
        self._last_request_number += 1
        self._pending_count += 1
        _Request(self, result, self._last_request_number, arrival_s).send()

    def _end_if_complete(self) -> None:
        all_arrived = self._next_arrival_s >= self.plan.seconds
        if all_arrived and not self._pending_count and self._on_end is not None:
            on_end, self._on_end = self._on_end, None
            on_end(self.to_json())

    def to_json(self) -> dict[str, Any]:
        """Returns the results as JSON values."""
        bin_count = round(self.plan.seconds / BIN_S)
        return {
            "kinds": [result.to_json(bin_count) for result in self._results],
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
    """Sends one load and prints its results.

    Args:
        argv: Command line arguments; those of the process by default.
        reactor: The reactor to run.
        output: Stream for the JSON lines.
    """
    parser = argparse.ArgumentParser(prog="caller")
    parser.add_argument("--plan", type=Path, required=True)
    parser.add_argument("--entries", type=_parse_entries, required=True)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    plan = LoadPlan.parse(options.plan.read_text(encoding="utf-8"))
    caller = Caller(reactor, SystemClock(), plan, options.entries, options.seed)

    def finish(results: dict[str, Any]) -> None:
        print(json.dumps(results), file=output, flush=True)
        reactor.stop()

    def start() -> None:
        print(json.dumps({"ready": True}), file=output, flush=True)
        # Later garbage collections skip all objects that exist now.
        gc.freeze()
        caller.start(finish)

    reactor.callWhenRunning(start)
    reactor.run()


if __name__ == "__main__":
    main()
