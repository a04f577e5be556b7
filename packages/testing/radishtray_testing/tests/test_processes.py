"""Guards the guarantees with real processes, signals and sockets.

No case depends on how long anything takes: each phase ends after a number of
answers or with the end of a process.
"""

import http.client
import itertools
import json
import random
import signal
import threading
import urllib.request
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from radishtray_state import RequestKey, SystemClock
from radishtray_testing.processes import LOOPBACK, LocalDeployment

_DOCUMENT = """\
format: 1
services:
  s:
    owner: team
    kinds:
      read: {method: GET, path: /read, deadline_ms: 30000, retry_budget: 6}
      slow: {method: GET, path: /slow, deadline_ms: 30000, retry_budget: 0}
      write: {method: POST, path: /write, deadline_ms: 30000}
      buy: {method: POST, path: /buy, deadline_ms: 30000, at_most_once: true}
      try: {method: POST, path: /try, deadline_ms: 1000, at_most_once: true}
"""
_CALLERS = 8
_KEYED = ("buy", "try")
_PLAN = json.dumps(
    {"slow": {"ms": 2000}}
    | {kind: {"ms": 20} for kind in ("read", "write", *_KEYED)}
)


class Answer:
    """What a caller got for one request."""

    def __init__(self, kind: str, mark: str, status: int, outcome: str) -> None:
        """Holds the parts; the outcome is empty without a refusal."""
        self.kind, self.mark = kind, mark
        self.status, self.outcome = status, outcome

    def __repr__(self) -> str:
        """Returns the text for a failed assertion."""
        return f"{self.kind} {self.mark}: {self.status} {self.outcome}"


class Load:
    """Callers that send one request after another until they are stopped."""

    def __init__(self, port: int, kinds: tuple[str, ...]) -> None:
        """Starts the callers."""
        self.answers: list[Answer] = []
        self._port, self._kinds = port, kinds
        self._changed = threading.Condition()
        self._is_stopped = False
        self._threads = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(_CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def _call(self, number: int) -> None:
        rng = random.Random(number)
        for turn in itertools.count(number):
            if self._is_stopped:
                return
            kind = self._kinds[turn % len(self._kinds)]
            key = str(RequestKey.generate(SystemClock(), rng))
            answers = [send(self._port, kind, key, "first")]
            if kind in _KEYED and answers[0].status != 200:
                answers.append(send(self._port, kind, key, "resend"))
            with self._changed:
                self.answers += answers
                self._changed.notify_all()

    def wait(self, answers: int) -> None:
        """Waits for a number of further answers."""
        with self._changed:
            wanted = len(self.answers) + answers
            self._changed.wait_for(lambda: len(self.answers) >= wanted)

    def stop(self) -> list[Answer]:
        """Waits for the last answers and returns all."""
        self._is_stopped = True
        for thread in self._threads:
            thread.join()
        return self.answers


def send(port: int, kind: str, mark: str, declared: str = "first") -> Answer:
    """Sends one request; status 0 is a connection without an answer."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=60)
    headers = {
        "Idempotency-Key": mark,
        "Radishtray-Send": declared,
        "Test-Run-Id": mark,
    }
    method = "GET" if kind in ("read", "slow") else "POST"
    try:
        connection.request(method, f"/s/{kind}?{mark}", headers=headers)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException) as error:
        return Answer(kind, mark, 0, repr(error))
    finally:
        connection.close()
    outcome = response.getheader("Radishtray-Outcome") or ""
    reason = response.getheader("Radishtray-Reason") or ""
    return Answer(kind, mark, response.status, f"{outcome} {reason}".strip())


class Deployment:
    """An entry node and nodes `s-1` and `s-2` with an upstream each."""

    def __init__(self, directory: Path) -> None:
        """Starts all processes and waits until they are ready."""
        self.local = LocalDeployment(directory / "logs")
        try:
            self._start(directory)
        except BaseException:
            self.local.close()
            raise

    def _start(self, directory: Path) -> None:
        for node_id in ("entry", "s-1", "s-2"):
            self.local.start_node(node_id, "domain")
        for node_id in ("s-1", "s-2"):
            self.local.start_upstream(
                node_id,
                *("--service", "s", "--slots", "20"),
                *("--plan", _PLAN, "--distribution", "fixed"),
            )
        document = directory / "document.yaml"
        document.write_text(_DOCUMENT)
        code, output = self.local.control("config", "apply", str(document))
        assert code == 0, output
        self.local.wait_until_ready(1, 2)
        self.local.wait_until_slots_are_owned(1)

    def load(self, *kinds: str) -> Load:
        return Load(self.local.nodes["entry"].port("caller"), kinds)

    def platform_faults(self, **faults: Any) -> None:
        request = urllib.request.Request(
            f"http://{LOOPBACK}:{self.local.platform_port}/faults",
            data=json.dumps(faults).encode(),
            method="PUT",
        )
        with urllib.request.urlopen(request, timeout=30):
            pass

    def send_slow(self, pool: ThreadPoolExecutor) -> "list[Future[Answer]]":
        """Sends requests at two entries and waits until all are running."""
        ports = [self.local.nodes[n].port("caller") for n in ("entry", "s-1")]
        marks = [f"slow-{number}" for number in range(8)]
        sent = [
            pool.submit(send, ports[number % 2], "slow", mark)
            for number, mark in enumerate(marks)
        ]
        while not all(self.runs()[mark] for mark in marks):
            pass
        return sent

    def runs(self) -> Counter[str]:
        """Returns the runs of each mark at the upstreams that are left."""
        found: Counter[str] = Counter()
        for upstream in self.local.upstreams.values():
            if not upstream.is_running:
                continue
            port = upstream.ready["control_port"]
            url = f"http://{LOOPBACK}:{port}/effects"
            with urllib.request.urlopen(url, timeout=30) as answer:
                shown = json.load(answer)
            found.update(shown["effects"])
            found.update(
                {k: v for k, v in shown["runs"].items() if k not in found}
            )
        return found


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    started = Deployment(tmp_path)
    yield started
    started.local.close()


def check(answers: list[Answer], runs: Counter[str]) -> None:
    """Checks what is true of every run, whatever failed."""
    results: dict[str, list[Answer]] = {}
    for answer in answers:
        results.setdefault(answer.mark, []).append(answer)
    for mark, found in results.items():
        if found[0].kind in _KEYED:
            assert runs[mark] <= 1, f"{found} ran {runs[mark]} times"
        if all(answer.outcome.startswith("not_run") for answer in found):
            assert runs[mark] == 0, f"{found} ran"
    assert all(answer.status for answer in answers), "cut connections"


def test_sigterm_under_load_cuts_no_request(deployment: Deployment) -> None:
    load = deployment.load("read", "buy", "write")
    load.wait(100)
    leaving = deployment.local.nodes["s-1"]
    with ThreadPoolExecutor() as pool:
        slow = deployment.send_slow(pool)
        leaving.signal(signal.SIGTERM)
        exit_code = leaving.wait()
    assert [a.result() for a in slow if a.result().status != 200] == []
    load.wait(100)
    answers = load.stop()
    assert exit_code == 0
    check(answers, deployment.runs())
    unkeyed = [a for a in answers if a.kind not in _KEYED]
    assert [a for a in unkeyed if a.status != 200] == []


def test_two_nodes_that_stop_at_once_cut_no_request(
    deployment: Deployment,
) -> None:
    """An entry node and an upstream's node hand over to the one that stays."""
    leaving = [deployment.local.nodes[n] for n in ("entry", "s-1")]
    load = Load(deployment.local.nodes["s-2"].port("caller"), ("read", "write"))
    load.wait(100)
    with ThreadPoolExecutor() as pool:
        slow = deployment.send_slow(pool)
        for node in leaving:
            node.signal(signal.SIGTERM)
        exit_codes = [node.wait() for node in leaving]
    assert [a.result() for a in slow if a.result().status != 200] == []
    load.wait(100)
    answers = load.stop()
    assert exit_codes == [0, 0]
    check(answers, deployment.runs())
    assert [a for a in answers if a.status != 200] == []


def test_kill_of_an_upstream_leaves_true_answers(
    deployment: Deployment,
) -> None:
    load = deployment.load("read", "buy", "write")
    load.wait(100)
    deployment.local.upstreams["s-1"].signal(signal.SIGKILL)
    load.wait(200)
    answers = load.stop()
    check(answers, deployment.runs())
    assert [a for a in answers if a.kind == "read" and a.status != 200] == []
    unkeyed = [a for a in answers if a.kind not in _KEYED]
    assert {a.status for a in unkeyed[-_CALLERS:]} == {200}


def test_no_key_runs_twice_when_its_owner_is_paused(
    deployment: Deployment,
) -> None:
    load = deployment.load("try")
    load.wait(50)
    paused = deployment.local.nodes["s-1"]
    paused.signal(signal.SIGSTOP)
    load.wait(40)
    paused.signal(signal.SIGCONT)
    before = len(load.answers)
    load.wait(100)
    answers = load.stop()
    port = deployment.local.nodes["entry"].port("caller")
    whole = {a.mark for a in answers if a.status == 200}
    for mark in {a.mark for a in answers} - whole:
        answers.append(send(port, "try", mark, "resend"))
    runs = deployment.runs()
    check(answers, runs)
    answered = {a.mark for a in answers if a.status == 200}
    assert [mark for mark in answered if runs[mark] != 1] == []
    assert 200 in {a.status for a in answers[before:]}


def test_requests_go_on_while_the_platform_is_down(
    deployment: Deployment,
) -> None:
    load = deployment.load("read", "buy", "write")
    load.wait(50)
    deployment.platform_faults(outage=True)
    load.wait(300)
    deployment.platform_faults(refuse=True)
    load.wait(100)
    deployment.platform_faults()
    load.wait(50)
    answers = load.stop()
    check(answers, deployment.runs())
    assert [a for a in answers if a.status != 200] == []


def test_a_taken_port_ends_the_node(tmp_path: Path) -> None:
    """A node that cannot listen must not stay alive without serving."""
    local = LocalDeployment(tmp_path)
    try:
        first = local.start_node("first", "a")
        with pytest.raises(RuntimeError, match="ended with 1"):
            local.start_node(
                "second", "a", "--caller-port", str(first.port("caller"))
            )
    finally:
        local.close()
