"""Guards against a stand-in that hides duplicates or leaks slots."""

import random
from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.task import Clock

from radishtray_testing._upstream_work import Faults, UpstreamWorker
from radishtray_testing._work_plan import WorkPlan
from radishtray_transport import HttpResponse

PLAN = """{
  "buy": {"ms": 100, "calls": ["POST /call/gafete/issue"]},
  "POST /buy/{n}/fast": {"ms": 25},
  "GET /buy/{n}": {"ms": 25}
}"""


class FakeHttp:
    """A request whose answer is kept."""

    def __init__(self, path: str, body: bytes, key: str | None) -> None:
        """Creates an unanswered request."""
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


class FakeNode:
    """Answers every sub-call at once with one status."""

    def __init__(self, status: int) -> None:
        """Creates a node."""
        self.status = status
        self.paths: list[str] = []

    def request(self, method: str, path: str, *rest: Any) -> None:
        self.paths.append(path)
        rest[2](HttpResponse(self.status, [], b""))


class Bench:
    def __init__(self, call_status: int = 200) -> None:
        """Creates a worker with one slot and fixed times."""
        self.clock = Clock()
        self.node = FakeNode(call_status)
        self.worker = UpstreamWorker(
            self.clock,
            self.node,  # type: ignore[arg-type]
            WorkPlan.parse(PLAN, 50.0),
            1,
            random.Random(1),
            distribution="fixed",
        )

    def send(self, path: str, key: str | None = None) -> FakeHttp:
        http = FakeHttp(path, b"", key)
        self.worker.handle(http)  # type: ignore[arg-type]
        return http


CALLING = ("calls", "refused_call")
# Name, paths sent at once, status of sub-calls, seconds, statuses.
CASES = [
    ("answers_after_its_time", ["/x"], 200, 0.05, [200]),
    ("not_before", ["/x"], 200, 0.025, [None]),
    ("waits_for_the_slot", ["/x", "/x"], 200, 0.05, [200, None]),
    ("takes_the_freed_slot", ["/x", "/x"], 200, 0.1, [200, 200]),
    ("calls", ["/buy/1?a=b"], 200, 0.1, [200]),
    ("refused_call", ["/buy"], 503, 0.1, [502]),
    ("kind_by_method_and_path", ["/buy/1/fast"], 200, 0.025, [200]),
]


@pytest.mark.parametrize("case", CASES, ids=[case[0] for case in CASES])
def test_work(case: tuple[str, list[str], int, float, list[Any]]) -> None:
    name, paths, call_status, seconds, statuses = case
    bench = Bench(call_status)
    sent = [bench.send(path) for path in paths]
    bench.clock.pump([0.025] * round(seconds * 40))
    assert [http.status for http in sent] == statuses
    assert bench.node.paths == ["/call/gafete/issue"] * (name in CALLING)


def test_duplicates_show_in_the_effects() -> None:
    bench = Bench()
    for key in ("a", "b", "a", None):
        bench.send("/x", key)
    bench.clock.pump([0.05] * 4)
    assert bench.worker.effects == {"a": 2, "b": 1}


def test_disconnect_frees_the_slot_and_counts() -> None:
    bench = Bench()
    first, second = bench.send("/x"), bench.send("/x")
    assert first.on_disconnect is not None
    first.on_disconnect()
    bench.clock.advance(0.05)
    assert (first.status, second.status) == (None, 200)
    assert bench.worker.counters["cancelled"] == 1


def test_faults() -> None:
    bench = Bench()
    bench.worker.set_faults(Faults.from_json(b'{"slow_factor": 2}'))
    http = bench.send("/x")
    bench.clock.advance(0.05)
    assert http.status is None
    bench.worker.set_faults(Faults(freeze=True))
    bench.clock.advance(9)
    assert http.status is None
    bench.worker.set_faults(Faults(silence_open=True))
    assert http.status is None
    assert bench.worker.load == {"running": 0, "waiting": 0}
    later = bench.send("/x")
    bench.clock.advance(0.05)
    assert later.status == 200


@pytest.mark.parametrize(
    ("read", "text"),
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
def test_invalid_input(read: Callable[[Any], object], text: Any) -> None:
    with pytest.raises(ValueError, match=r"."):
        read(text)
