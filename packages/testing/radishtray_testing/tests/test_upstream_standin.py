"""Tests the request execution and the faults of the upstream stand-in.

Other tests rely on its counts: if it missed a duplicate run or did not free a
slot, they would pass or fail for the wrong reason.
"""

import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.task import Clock

from radishtray_testing._upstream_work import (
    Faults,
    RunLog,
    UpstreamWorker,
)
from radishtray_testing._work_plan import WorkPlan
from radishtray_transport import HttpResponse

WORK_PLAN = """{
  "buy": {"ms": 100, "calls": ["POST /call/gafete/issue"]},
  "POST /buy/{n}/fast": {"ms": 25},
  "GET /buy/{n}": {"ms": 25}
}"""


class FakeRequest:
    """An HTTP request that records the status of its answer."""

    def __init__(self, path: str, body: bytes, key: str | None) -> None:
        """Creates a POST request without an answer."""
        self.uri = path.encode()
        self.method = b"POST"
        self.body = body
        self.key = key
        self.channel = self
        self.on_disconnect: Callable[[], None] | None = None
        self.status: int | None = None

    def header(self, name: bytes) -> bytes | None:
        return self.key.encode() if self.key and b"Key" in name else None

    def respond(self, status: int, headers: list[str], body: bytes) -> None:
        self.status = status


class FakeNodeClient:
    """A client of the node that answers every sub-call at once.

    Attributes:
        answer_status: Status of all answers.
        called_paths: Paths of the sub-calls, in order.
    """

    def __init__(self, answer_status: int) -> None:
        """Creates a client whose calls all get this status."""
        self.answer_status = answer_status
        self.called_paths: list[str] = []

    def request(self, method: str, path: str, *rest: Any) -> None:
        """Answers the call; `rest[2]` is the callback for the answer."""
        self.called_paths.append(path)
        rest[2](HttpResponse(self.answer_status, [], b""))


class WorkerHarness:
    """A worker with one slot, fixed service times and a simulated clock."""

    def __init__(self, call_status: int = 200, **options: Any) -> None:
        """Creates the worker; its sub-calls get `call_status`."""
        self.clock = Clock()
        self.node_client = FakeNodeClient(call_status)
        self.worker = UpstreamWorker(
            self.clock,
            self.node_client,  # type: ignore[arg-type]
            WorkPlan.parse(WORK_PLAN, 50.0),
            1,
            random.Random(1),
            distribution="fixed",
            **options,
        )

    def send(self, path: str, key: str | None = None) -> FakeRequest:
        request = FakeRequest(path, b"", key)
        self.worker.handle(request)  # type: ignore[arg-type]
        return request


CASES_WITH_CALLS = ("calls", "refused_call")
# Case name, paths of the requests sent at once, status of the sub-calls,
# seconds that pass, expected statuses (None for no answer yet).
CASES = [
    ("answers_after_the_service_time", ["/x"], 200, 0.05, [200]),
    ("no_answer_before_the_service_time", ["/x"], 200, 0.025, [None]),
    ("waits_for_the_slot", ["/x", "/x"], 200, 0.05, [200, None]),
    ("takes_the_freed_slot", ["/x", "/x"], 200, 0.1, [200, 200]),
    ("calls", ["/buy/1?a=b"], 200, 0.1, [200]),
    ("refused_call", ["/buy"], 503, 0.1, [502]),
    ("kind_by_method_and_path", ["/buy/1/fast"], 200, 0.025, [200]),
]


@pytest.mark.parametrize("case", CASES, ids=[case[0] for case in CASES])
def test_requests_are_answered_after_service_time_and_calls(
    case: tuple[str, list[str], int, float, list[Any]],
) -> None:
    name, paths, call_status, seconds, statuses = case
    harness = WorkerHarness(call_status)
    sent = [harness.send(path) for path in paths]
    # In steps of 25 ms, so that timers that a step starts can fire in time.
    harness.clock.pump([0.025] * round(seconds * 40))
    assert [request.status for request in sent] == statuses
    assert harness.node_client.called_paths == ["/call/gafete/issue"] * (
        name in CASES_WITH_CALLS
    )


def test_duplicate_runs_of_a_key_are_counted() -> None:
    """The stand-in runs a repeated key again, and its counts show that."""
    harness = WorkerHarness()
    for key in ("a", "b", "a", None):
        harness.send("/x", key)
    harness.clock.pump([0.05] * 4)
    assert harness.worker.runs_by_key == {"a": 2, "b": 1}


def test_run_log_keeps_the_runs_of_earlier_processes(tmp_path: Path) -> None:
    """A run is in the file as soon as it has begun."""
    path = tmp_path / "runs"
    for key in ("a", "b"):
        WorkerHarness(run_log=RunLog(path)).send("/x", key)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [(line["target"], line["key"]) for line in lines] == [
        ("/x", "a"),
        ("/x", "b"),
    ]


def test_echo_repeats_the_ids_and_the_body() -> None:
    harness = WorkerHarness(echoes_requests=True)
    answer = harness.worker.describe_success(harness.send("/x", "a"))  # type: ignore[arg-type]
    assert (answer["target"], answer["key"], answer["body"]) == ("/x", "a", "")


def test_disconnect_frees_the_slot_and_is_counted() -> None:
    """The waiting request must run when the running one is cancelled."""
    harness = WorkerHarness()
    first, second = harness.send("/x"), harness.send("/x")
    assert first.on_disconnect is not None
    first.on_disconnect()
    harness.clock.advance(0.05)
    assert (first.status, second.status) == (None, 200)
    assert harness.worker.counters["cancelled"] == 1


def test_faults_slow_freeze_and_silence_requests() -> None:
    """The silenced request gets no answer, but its slot is freed."""
    harness = WorkerHarness()
    harness.worker.set_faults(Faults.from_json(b'{"slow_factor": 2}'))
    request = harness.send("/x")
    harness.clock.advance(0.05)
    assert request.status is None
    harness.worker.set_faults(Faults(freeze=True))
    harness.clock.advance(9)
    assert request.status is None
    harness.worker.set_faults(Faults(silence_open=True))
    assert request.status is None
    assert harness.worker.load == {"running": 0, "waiting": 0}
    later_request = harness.send("/x")
    harness.clock.advance(0.05)
    assert later_request.status == 200


@pytest.mark.parametrize(
    ("parse", "text"),
    [
        (Faults.from_json, b'{"slow": 1}'),
        (Faults.from_json, b'{"slow_factor": 0}'),
        (Faults.from_json, b"[]"),
        (lambda text: WorkPlan.parse(text, 1.0), '{"a": {"call": []}}'),
        (lambda text: WorkPlan.parse(text, 1.0), '{"a": {"calls": ["x"]}}'),
        (lambda text: WorkPlan.parse(text, 1.0), '{"a": {"ms": -1}}'),
        (lambda text: WorkPlan.parse(text, 1.0), "[]"),
    ],
)
def test_invalid_plans_and_faults_are_refused(
    parse: Callable[[Any], object], text: Any
) -> None:
    with pytest.raises(ValueError, match=r"."):
        parse(text)
