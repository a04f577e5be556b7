"""Request execution of an upstream stand-in.

Requests run in a fixed number of slots and wait in a FIFO queue for a free one.
Each run takes a random service time, then makes the calls of its kind. Faults
can be injected.
"""

import json
import os
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from pathlib import Path
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
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
TEST_RUN_ID_HEADER = "Test-Run-Id"
"""Set by callers of tests, to count the runs of requests without a key."""
REQUEST_ID_HEADER = "Radishtray-Request-Id"
SEND_ID_HEADER = "Radishtray-Send-Id"
CRASH_EXIT_CODE = 70
_JSON_HEADERS = ["Content-Type", "application/json"]
_GAMMA_SHAPE_PARAMETER = 4
_LATE_ANSWER_SHARE = 0.05
SERVICE_TIME_SAMPLERS: dict[str, Callable[[random.Random, float], float]] = {
    "exponential": lambda rng, mean: rng.expovariate(1 / mean),
    "fixed": lambda rng, mean: mean,
    "gamma": lambda rng, mean: rng.gammavariate(
        _GAMMA_SHAPE_PARAMETER, mean / _GAMMA_SHAPE_PARAMETER
    ),
}
"""Functions that draw a service time for a given mean, by distribution name.

With shape 4, the standard deviation of the gamma distribution is half its mean.
"""


class Faults:
    """Faults that the stand-in injects.

    Attributes:
        slow_factor: Factor on the service time of the runs that start.
        crash_marker: A request whose body contains this text ends the process;
            empty for none.
        freeze: Whether requests make no progress after their own work until
            the freeze ends.
        silence_open: Whether connections with a running or waiting request stop
            answering. It acts once; connections opened later work.
    """

    __slots__ = ("crash_marker", "freeze", "silence_open", "slow_factor")

    def __init__(
        self,
        slow_factor: float = 1.0,
        crash_marker: str = "",
        freeze: bool = False,
        silence_open: bool = False,
    ) -> None:
        """Creates a set of faults; by default there are none.

        Raises:
            ValueError: If `slow_factor` is not positive.
        """
        if slow_factor <= 0:
            raise ValueError(
                f"slow_factor is {slow_factor}, but must be positive"
            )
        self.slow_factor = float(slow_factor)
        self.crash_marker = crash_marker
        self.freeze = freeze
        self.silence_open = silence_open

    @classmethod
    def from_json(cls, body: bytes) -> "Faults":
        """Parses a JSON object of faults; absent ones are off.

        Raises:
            ValueError: If a fault is unknown or invalid.
        """
        document = json.loads(body)
        if not isinstance(document, dict) or document.keys() - set(
            cls.__slots__
        ):
            raise ValueError(
                "faults must be a JSON object with no other keys than"
                f" {', '.join(cls.__slots__)}"
            )
        return cls(**document)


class _Job:
    """One request from its arrival until it is answered or cancelled."""

    __slots__ = (
        "_pending_call",
        "_remaining_calls",
        "_work_timer",
        "_worker",
        "plan",
        "request",
    )

    def __init__(
        self, worker: "UpstreamWorker", request: HttpRequest, plan: KindPlan
    ) -> None:
        self._worker = worker
        self.request = request
        self.plan = plan
        self._remaining_calls = deque(plan.calls)
        self._work_timer: Any = None
        self._pending_call: PendingRequest | None = None
        request.on_disconnect = self._on_caller_disconnected

    def start(self) -> None:
        """Starts the run: own work, then the calls, then the answer.

        The job occupies its slot until the answer.
        """
        service_time_s = self._worker.draw_service_time_s(self.plan)
        self._work_timer = self._worker.reactor.callLater(
            service_time_s, self._on_work_done
        )

    def _on_work_done(self) -> None:
        """Starts the calls; in a freeze, this runs again when it ends."""
        self._work_timer = None
        if self._worker.faults.freeze:
            self._worker.frozen_steps.append(self._on_work_done)
            return
        self._start_next_call()

    def _start_next_call(self) -> None:
        if not self._remaining_calls:
            self._finish(200, self._worker.describe_success(self.request))
            return
        call = self._remaining_calls.popleft()
        context = self.request.header(CONTEXT_HEADER.encode())
        headers = []
        if context is not None:
            headers = [CONTEXT_HEADER, context.decode("latin-1")]
        self._pending_call = self._worker.node_client.request(
            call.method,
            call.path,
            headers,
            b"",
            self._on_call_answered,
            self._on_call_failed,
        )

    def _on_call_answered(self, answer: HttpResponse) -> None:
        self._pending_call = None
        if answer.status < 300:
            self._start_next_call()
            return
        self._worker.counters["calls_refused"] += 1
        reason = answer.header("Radishtray-Reason") or ""
        self._finish(502, {"done": False, "reason": reason})

    def _on_call_failed(self, failure: RequestFailure) -> None:
        # The caller has disconnected, which removed this job.
        if failure is RequestFailure.CANCELLED:
            return
        self._pending_call = None
        self._worker.counters["calls_failed"] += 1
        self._finish(502, {"done": False, "reason": failure.value})

    def _finish(self, status: int, body: dict[str, Any]) -> None:
        self._worker.remove_job(self)
        if not self._worker.is_silenced(self.request):
            channel = self.request.channel
            headers = [*_JSON_HEADERS, *repeated_send_id(self.request)]
            payload = json.dumps(body).encode()
            self.request.respond(status, headers, payload)
            self._worker.answer_again_later(channel, headers, payload)

    def _on_caller_disconnected(self) -> None:
        self._worker.counters["cancelled"] += 1
        if self._work_timer is not None:
            self._work_timer.cancel()
        if self._pending_call is not None:
            self._pending_call.cancel()
        self._worker.remove_job(self)


class RunLog:
    """File with one JSON line for each started run.

    A line is in the file before the run begins and outlives the process, so
    that the runs of a killed upstream are known.
    """

    __slots__ = ("_file_descriptor",)

    def __init__(self, path: Path) -> None:
        """Opens the file, which may have lines of earlier processes.

        Raises:
            OSError: If the file cannot be opened.
        """
        self._file_descriptor = os.open(
            path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644
        )

    def append(self, request: HttpRequest) -> None:
        """Appends a line with the ids of a request whose run begins."""
        line = {"at_s": time.time(), **describe_request(request)}
        os.write(self._file_descriptor, json.dumps(line).encode() + b"\n")


def describe_request(request: HttpRequest) -> dict[str, str]:
    """Returns the ids and the target of a request as JSON values."""
    headers = {
        "send_id": TEST_RUN_ID_HEADER,
        "key": IDEMPOTENCY_KEY_HEADER,
        "chain_id": REQUEST_ID_HEADER,
    }
    return {
        "target": request.uri.decode("latin-1"),
        **{
            name: (request.header(header.encode()) or b"").decode("latin-1")
            for name, header in headers.items()
        },
    }


def repeated_send_id(request: HttpRequest) -> list[str]:
    """Returns the header with which an answer repeats the id of its send."""
    send_id = request.header(SEND_ID_HEADER.encode())
    return [SEND_ID_HEADER, send_id.decode("latin-1")] if send_id else []


class UpstreamWorker:
    """Runs requests in a fixed number of slots; others wait in a FIFO queue.

    Attributes:
        reactor: The Twisted reactor.
        node_client: HTTP client of the upstream listener of the node beside
            this upstream.
        faults: Faults that are injected at present.
        counters: Event counts by name.
        runs_by_key: Started runs by idempotency key; a count above 1 is a
            duplicate run.
        runs_by_test_run_id: Started runs by the `Test-Run-Id` header.
        runs_by_chain_and_path: Started runs by the request id of the call chain
            and the path; a count above 1 shows retries.
        frozen_steps: Callbacks to run when the freeze ends.
    """

    __slots__ = (
        "_echoes_requests",
        "_late_answer_s",
        "_plan",
        "_rng",
        "_run_log",
        "_running_jobs",
        "_sample_service_time",
        "_silenced_connections",
        "_slots",
        "_waiting_jobs",
        "counters",
        "faults",
        "frozen_steps",
        "node_client",
        "reactor",
        "runs_by_chain_and_path",
        "runs_by_key",
        "runs_by_test_run_id",
    )

    def __init__(
        self,
        reactor: Any,
        node_client: HttpClient,
        plan: WorkPlan,
        slots: int,
        rng: random.Random,
        distribution: str = "exponential",
        *,
        echoes_requests: bool = False,
        run_log: RunLog | None = None,
        late_answer_s: float = 0.0,
    ) -> None:
        """Creates a worker without requests or faults.

        Args:
            reactor: The Twisted reactor.
            node_client: HTTP client of the node's upstream listener.
            plan: Service time and calls of each kind.
            slots: Number of requests that may run at the same time.
            rng: Random number generator for the service times.
            distribution: Name of the service time distribution.
            echoes_requests: Whether successes repeat the ids and the body of
                the request.
            run_log: Where started runs are written; None for nowhere.
            late_answer_s: Time after which some answers are sent a second
                time on their connection, in seconds; 0 for never.
        """
        self._late_answer_s = late_answer_s
        self._echoes_requests = echoes_requests
        self._run_log = run_log
        self.reactor = reactor
        self.node_client = node_client
        self.faults = Faults()
        self.counters: Counter[str] = Counter()
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_test_run_id: Counter[str] = Counter()
        self.runs_by_chain_and_path: Counter[str] = Counter()
        self.frozen_steps: list[Callable[[], None]] = []
        self._plan = plan
        self._slots = slots
        self._rng = rng
        self._sample_service_time = SERVICE_TIME_SAMPLERS[distribution]
        self._running_jobs: set[_Job] = set()
        self._waiting_jobs: deque[_Job] = deque()
        self._silenced_connections: WeakSet[Any] = WeakSet()

    @property
    def load(self) -> dict[str, int]:
        """Numbers of running and waiting requests."""
        return {
            "running": len(self._running_jobs),
            "waiting": len(self._waiting_jobs),
        }

    def handle(self, request: HttpRequest) -> None:
        """Runs a request or queues it if all slots are occupied.

        A request with the crash marker ends the process.
        """
        marker = self.faults.crash_marker
        if marker and marker.encode() in request.body:
            os._exit(CRASH_EXIT_CODE)
        method = request.method.decode("latin-1")
        plan = self._plan.plan_for(method, request.uri.decode("latin-1"))
        job = _Job(self, request, plan)
        if len(self._running_jobs) < self._slots:
            self._start_job(job)
        else:
            self._waiting_jobs.append(job)

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults; frozen requests continue if the freeze ends."""
        self.faults = faults
        if faults.silence_open:
            for job in [*self._running_jobs, *self._waiting_jobs]:
                self._silenced_connections.add(job.request.channel)
        if not faults.freeze:
            frozen, self.frozen_steps = self.frozen_steps, []
            for step in frozen:
                step()

    def draw_service_time_s(self, plan: KindPlan) -> float:
        """Draws the service time of one run."""
        mean_s = plan.mean_service_time_s * self.faults.slow_factor
        return self._sample_service_time(self._rng, mean_s) if mean_s else 0.0

    def describe_success(self, request: HttpRequest) -> dict[str, Any]:
        """Returns the body of a success as JSON values."""
        if not self._echoes_requests:
            return {"done": True}
        body = request.body.decode("latin-1")
        return {"done": True, **describe_request(request), "body": body}

    def answer_again_later(
        self, channel: Any, headers: list[str], payload: bytes
    ) -> None:
        """Sends a share of the answers again later, if that fault is on."""
        if not self._late_answer_s or self._rng.random() > _LATE_ANSWER_SHARE:
            return
        fields = [*headers, "Content-Length", f"{len(payload)}"]
        lines = map(": ".join, zip(fields[::2], fields[1::2], strict=True))
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])

        def answer_again() -> None:
            if channel is not None and channel.transport.connected:
                channel.writer.write(head.encode() + payload)

        self.reactor.callLater(self._late_answer_s, answer_again)

    def is_silenced(self, request: HttpRequest) -> bool:
        """Returns whether the `silence_open` fault hit this connection."""
        return request.channel in self._silenced_connections

    def remove_job(self, job: _Job) -> None:
        """Removes a running or waiting job and starts the next waiting one."""
        if job in self._running_jobs:
            self._running_jobs.remove(job)
            self.counters["ended"] += 1
        elif job in self._waiting_jobs:
            self._waiting_jobs.remove(job)
        if self._waiting_jobs and len(self._running_jobs) < self._slots:
            self._start_job(self._waiting_jobs.popleft())

    def _start_job(self, job: _Job) -> None:
        if self._run_log is not None:
            self._run_log.append(job.request)
        self._running_jobs.add(job)
        self.counters["begun"] += 1
        self._count_by_header(
            self.runs_by_key, job.request, IDEMPOTENCY_KEY_HEADER
        )
        self._count_by_header(
            self.runs_by_test_run_id, job.request, TEST_RUN_ID_HEADER
        )
        path = job.request.uri.decode("latin-1")
        self._count_by_header(
            self.runs_by_chain_and_path,
            job.request,
            REQUEST_ID_HEADER,
            f" {path}",
        )
        job.start()

    @staticmethod
    def _count_by_header(
        counts: Counter[str],
        request: HttpRequest,
        header: str,
        suffix: str = "",
    ) -> None:
        value = request.header(header.encode())
        if value is not None:
            counts[value.decode("latin-1") + suffix] += 1
