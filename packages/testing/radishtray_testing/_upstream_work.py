"""Slots, work, calls and faults of an upstream stand-in."""

import json
import os
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any
from weakref import WeakSet

from radishtray_testing._work_plan import KindPlan, WorkPlan
from radishtray_transport import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    PendingRequest,
    RequestFailure,
)

CONTEXT_HEADER = "Radishtray-Context"
KEY_HEADER = "Idempotency-Key"
RUN_ID_HEADER = "Test-Run-Id"
"""Set by the caller; shows which requests without a key were run."""
REQUEST_ID_HEADER = "Radishtray-Request-Id"
CRASH_EXIT_CODE = 70
_JSON = ["Content-Type", "application/json"]
_GAMMA_SHAPE = 4
DISTRIBUTIONS: dict[str, Callable[[random.Random, float], float]] = {
    "exponential": lambda rng, mean: rng.expovariate(1 / mean),
    "fixed": lambda rng, mean: mean,
    "gamma": lambda rng, mean: rng.gammavariate(
        _GAMMA_SHAPE, mean / _GAMMA_SHAPE
    ),
}
"""Draw of a time of work from its mean; gamma varies by half its mean."""


class Faults:
    """Faults in force.

    Attributes:
        slow_factor: Multiplies the time of work.
        crash_marker: A request whose body contains this text ends the process.
        freeze: Whether no request makes progress.
        silence_open: Whether to silence the connections that are open now; it
            acts once and later connections work.
    """

    __slots__ = ("crash_marker", "freeze", "silence_open", "slow_factor")

    def __init__(
        self,
        slow_factor: float = 1.0,
        crash_marker: str = "",
        freeze: bool = False,
        silence_open: bool = False,
    ) -> None:
        """Checks and holds the faults.

        Raises:
            ValueError: If the factor is not positive.
        """
        if slow_factor <= 0:
            raise ValueError(f"slow_factor {slow_factor} is not positive")
        self.slow_factor = float(slow_factor)
        self.crash_marker = crash_marker
        self.freeze = freeze
        self.silence_open = silence_open

    @classmethod
    def from_json(cls, body: bytes) -> "Faults":
        """Reads faults; absent ones are off.

        Raises:
            ValueError: If a fault is unknown or invalid.
        """
        shown = json.loads(body)
        if not isinstance(shown, dict) or shown.keys() - set(cls.__slots__):
            raise ValueError(f"faults are {', '.join(cls.__slots__)}")
        return cls(**shown)


class _Job:
    """One request, from its arrival to its answer or cancellation."""

    __slots__ = ("_call", "_calls", "_timer", "_worker", "http", "plan")

    def __init__(
        self, worker: "UpstreamWorker", http: HttpRequest, plan: KindPlan
    ) -> None:
        self._worker = worker
        self.http = http
        self.plan = plan
        self._calls = deque(plan.calls)
        self._timer: Any = None
        self._call: PendingRequest | None = None
        http.on_disconnect = self._disconnected

    def run(self) -> None:
        """Works, then makes the calls; the slot is held until the answer."""
        seconds = self._worker.work_time(self.plan)
        self._timer = self._worker.reactor.callLater(seconds, self._worked)

    def _worked(self) -> None:
        self._timer = None
        if self._worker.faults.freeze:
            self._worker.frozen.append(self._worked)
            return
        self._next_call()

    def _next_call(self) -> None:
        if not self._calls:
            self._finish(200, {"done": True})
            return
        call = self._calls.popleft()
        context = self.http.header(CONTEXT_HEADER.encode())
        headers = []
        if context is not None:
            headers = [CONTEXT_HEADER, context.decode("latin-1")]
        self._call = self._worker.node.request(
            call.method, call.path, headers, b"", self._called, self._failed
        )

    def _called(self, answer: HttpResponse) -> None:
        self._call = None
        if answer.status < 300:
            self._next_call()
            return
        self._worker.counters["calls_refused"] += 1
        reason = answer.header("Radishtray-Reason") or ""
        self._finish(502, {"done": False, "reason": reason})

    def _failed(self, failure: RequestFailure) -> None:
        if failure is RequestFailure.CANCELLED:
            return
        self._call = None
        self._worker.counters["calls_failed"] += 1
        self._finish(502, {"done": False, "reason": failure.value})

    def _finish(self, status: int, shown: dict[str, Any]) -> None:
        self._worker.ended(self)
        if not self._worker.is_silent(self.http):
            self.http.respond(status, _JSON, json.dumps(shown).encode())

    def _disconnected(self) -> None:
        self._worker.counters["cancelled"] += 1
        if self._timer is not None:
            self._timer.cancel()
        if self._call is not None:
            self._call.cancel()
        self._worker.ended(self)


class UpstreamWorker:
    """Runs requests in slots; more of them wait in order of arrival.

    Attributes:
        reactor: The Twisted reactor.
        node: Connections to the node beside this upstream.
        faults: Faults in force.
        counters: Events by name.
        effects: Begun runs by idempotency key; above 1 is a duplicate.
        runs: Begun runs by the caller's `Test-Run-Id`.
        chains: Begun runs by request id of the chain and path; above 1 shows
            retries.
        frozen: Steps that continue once the freeze ends.
    """

    __slots__ = (
        "_draw",
        "_plan",
        "_rng",
        "_running",
        "_silent",
        "_slots",
        "_waiting",
        "chains",
        "counters",
        "effects",
        "faults",
        "frozen",
        "node",
        "reactor",
        "runs",
    )

    def __init__(
        self,
        reactor: Any,
        node: HttpClient,
        plan: WorkPlan,
        slots: int,
        rng: random.Random,
        distribution: str = "exponential",
    ) -> None:
        """Starts idle.

        Args:
            reactor: The Twisted reactor.
            node: Connections to the node's upstream listener.
            plan: What to do for each kind.
            slots: Requests that run at the same time.
            rng: Randomness of the time of work.
            distribution: Name of the distribution of the time of work.
        """
        self.reactor = reactor
        self.node = node
        self.faults = Faults()
        self.counters: Counter[str] = Counter()
        self.effects: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.chains: Counter[str] = Counter()
        self.frozen: list[Callable[[], None]] = []
        self._plan = plan
        self._slots = slots
        self._rng = rng
        self._draw = DISTRIBUTIONS[distribution]
        self._running: set[_Job] = set()
        self._waiting: deque[_Job] = deque()
        self._silent: WeakSet[Any] = WeakSet()

    @property
    def load(self) -> dict[str, int]:
        """Running and waiting requests."""
        return {"running": len(self._running), "waiting": len(self._waiting)}

    def handle(self, http: HttpRequest) -> None:
        """Takes one request."""
        marker = self.faults.crash_marker
        if marker and marker.encode() in http.body:
            os._exit(CRASH_EXIT_CODE)
        method = http.method.decode("latin-1")
        plan = self._plan.of(method, http.uri.decode("latin-1"))
        job = _Job(self, http, plan)
        if len(self._running) < self._slots:
            self._begin(job)
        else:
            self._waiting.append(job)

    def set_faults(self, faults: Faults) -> None:
        """Puts faults in force; frozen requests continue when it ends."""
        self.faults = faults
        if faults.silence_open:
            for job in [*self._running, *self._waiting]:
                self._silent.add(job.http.channel)
        if not faults.freeze:
            frozen, self.frozen = self.frozen, []
            for step in frozen:
                step()

    def work_time(self, plan: KindPlan) -> float:
        """Returns the seconds of work for one request."""
        mean_s = plan.service_s * self.faults.slow_factor
        return self._draw(self._rng, mean_s) if mean_s else 0.0

    def is_silent(self, http: HttpRequest) -> bool:
        """Whether the connection of a request no longer answers."""
        return http.channel in self._silent

    def ended(self, job: _Job) -> None:
        """Frees the slot of a request, or forgets it while it waits."""
        if job in self._running:
            self._running.remove(job)
            self.counters["ended"] += 1
        elif job in self._waiting:
            self._waiting.remove(job)
        if self._waiting and len(self._running) < self._slots:
            self._begin(self._waiting.popleft())

    def _begin(self, job: _Job) -> None:
        self._running.add(job)
        self.counters["begun"] += 1
        self._count(self.effects, job.http, KEY_HEADER)
        self._count(self.runs, job.http, RUN_ID_HEADER)
        path = job.http.uri.decode("latin-1")
        self._count(self.chains, job.http, REQUEST_ID_HEADER, f" {path}")
        job.run()

    @staticmethod
    def _count(
        counts: Counter[str], http: HttpRequest, header: str, suffix: str = ""
    ) -> None:
        value = http.header(header.encode())
        if value is not None:
            counts[value.decode("latin-1") + suffix] += 1
