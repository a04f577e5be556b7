"""Tests the guarantees to callers with real processes, signals and sockets.

No test depends on how long anything takes: each phase ends after a number of
answers or when a process exits.
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

import pytest

from radishtray_state import RequestKey, SystemClock
from radishtray_testing.processes import LOOPBACK, LocalDeployment

_CONFIGURATION = """\
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
_CALLER_COUNT = 8
_KEYED_KINDS = ("buy", "try")
_WORK_PLAN = json.dumps(
    {"slow": {"ms": 2000}}
    | {kind: {"ms": 20} for kind in ("read", "write", *_KEYED_KINDS)}
)


class Answer:
    """The answer that a caller got for one send of a request.

    Attributes:
        kind: Kind of the request.
        run_id: Id of the request, by which the upstreams count its runs.
        status: HTTP status, or 0 if the connection gave no answer.
        outcome: Outcome and reason of a refusal, the error if there was no
            answer, or empty.
    """

    def __init__(
        self, kind: str, run_id: str, status: int, outcome: str
    ) -> None:
        """Creates an answer."""
        self.kind, self.run_id = kind, run_id
        self.status, self.outcome = status, outcome

    def __repr__(self) -> str:
        """Returns the text that a failed assertion shows."""
        return f"{self.kind} {self.run_id}: {self.status} {self.outcome}"


class CallerLoad:
    """Threads that each send one request after another until stopped.

    Attributes:
        answers: All answers so far.
    """

    def __init__(self, port: int, kinds: tuple[str, ...]) -> None:
        """Starts the threads."""
        self.answers: list[Answer] = []
        self._port, self._kinds = port, kinds
        self._answers_changed = threading.Condition()
        self._is_stopped = False
        self._threads = [
            threading.Thread(target=self._send_until_stopped, args=(number,))
            for number in range(_CALLER_COUNT)
        ]
        for thread in self._threads:
            thread.start()

    def _send_until_stopped(self, number: int) -> None:
        rng = random.Random(number)
        for turn in itertools.count(number):
            if self._is_stopped:
                return
            kind = self._kinds[turn % len(self._kinds)]
            key = str(RequestKey.generate(SystemClock(), rng))
            answers = [send_request(self._port, kind, key, "first")]
            if kind in _KEYED_KINDS and answers[0].status != 200:
                answers.append(send_request(self._port, kind, key, "resend"))
            with self._answers_changed:
                self.answers += answers
                self._answers_changed.notify_all()

    def wait_for_answers(self, count: int) -> None:
        """Waits until `count` further answers have arrived."""
        with self._answers_changed:
            target_count = len(self.answers) + count
            self._answers_changed.wait_for(
                lambda: len(self.answers) >= target_count
            )

    def stop(self) -> list[Answer]:
        """Stops the threads after their current requests.

        Returns:
            All answers.
        """
        self._is_stopped = True
        for thread in self._threads:
            thread.join()
        return self.answers


def send_request(
    port: int, kind: str, run_id: str, send_type: str = "first"
) -> Answer:
    """Sends one request with its id as idempotency key and test run id.

    The status of the result is 0 if the connection gave no answer.
    """
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=60)
    headers = {
        "Idempotency-Key": run_id,
        "Radishtray-Send": send_type,
        "Test-Run-Id": run_id,
    }
    method = "GET" if kind in ("read", "slow") else "POST"
    try:
        connection.request(method, f"/s/{kind}?{run_id}", headers=headers)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException) as error:
        return Answer(kind, run_id, 0, repr(error))
    finally:
        connection.close()
    outcome = response.getheader("Radishtray-Outcome") or ""
    reason = response.getheader("Radishtray-Reason") or ""
    return Answer(kind, run_id, response.status, f"{outcome} {reason}".strip())


class Deployment:
    """Nodes `entry`, `s-1` and `s-2`; the last two have an upstream each.

    Attributes:
        local: The processes.
    """

    def __init__(self, directory: Path) -> None:
        """Starts all processes and waits until they are ready."""
        self.local = LocalDeployment(directory / "logs")
        try:
            self._start_processes(directory)
        except BaseException:
            self.local.close()
            raise

    def _start_processes(self, directory: Path) -> None:
        for node_id in ("entry", "s-1", "s-2"):
            self.local.start_node(node_id, "domain")
        for node_id in ("s-1", "s-2"):
            self.local.start_upstream(
                node_id,
                *("--service", "s", "--slots", "20"),
                *("--plan", _WORK_PLAN, "--distribution", "fixed"),
            )
        document = directory / "document.yaml"
        document.write_text(_CONFIGURATION)
        code, output = self.local.run_ctl("config", "apply", str(document))
        assert code == 0, output
        self.local.wait_until_ready(1, 2)
        self.local.wait_until_key_slots_are_owned(1)

    def start_load(self, *kinds: str) -> CallerLoad:
        return CallerLoad(self.local.nodes["entry"].port("caller"), kinds)

    def start_slow_requests(
        self, pool: ThreadPoolExecutor
    ) -> "list[Future[Answer]]":
        """Sends slow requests through `entry` and `s-1`.

        Returns:
            Their answers to come, once all of the requests are running.
        """
        ports = [self.local.nodes[n].port("caller") for n in ("entry", "s-1")]
        run_ids = [f"slow-{number}" for number in range(8)]
        sent = [
            pool.submit(send_request, ports[number % 2], "slow", run_id)
            for number, run_id in enumerate(run_ids)
        ]
        while not all(self.count_runs()[run_id] for run_id in run_ids):
            pass
        return sent

    def count_runs(self) -> Counter[str]:
        """Returns the runs of each request at the upstreams still running.

        Runs that the upstreams count by idempotency key take precedence over
        those that they count by test run id.
        """
        run_counts: Counter[str] = Counter()
        for upstream in self.local.upstreams.values():
            if not upstream.is_running:
                continue
            port = upstream.ready_info["control_port"]
            url = f"http://{LOOPBACK}:{port}/effects"
            with urllib.request.urlopen(url, timeout=30) as answer:
                response = json.load(answer)
            run_counts.update(response["effects"])
            run_counts.update(
                {
                    run_id: count
                    for run_id, count in response["runs"].items()
                    if run_id not in run_counts
                }
            )
        return run_counts


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    started = Deployment(tmp_path)
    yield started
    started.local.close()


def check_guarantees(answers: list[Answer], run_counts: Counter[str]) -> None:
    """Checks the guarantees that hold whatever process failed.

    A request of an `at_most_once` kind ran at most once, a request whose
    answers all say `not_run` did not run, and no connection was closed without
    an answer.
    """
    answers_by_run_id: dict[str, list[Answer]] = {}
    for answer in answers:
        answers_by_run_id.setdefault(answer.run_id, []).append(answer)
    for run_id, request_answers in answers_by_run_id.items():
        if request_answers[0].kind in _KEYED_KINDS:
            assert run_counts[run_id] <= 1, (
                f"{request_answers} ran {run_counts[run_id]} times"
            )
        if all(
            answer.outcome.startswith("not_run") for answer in request_answers
        ):
            assert run_counts[run_id] == 0, f"{request_answers} ran"
    assert all(answer.status for answer in answers), (
        "connections closed without an answer"
    )


def test_sigterm_under_load_drops_no_request(deployment: Deployment) -> None:
    """A draining node must finish its requests; others go to another node."""
    load = deployment.start_load("read", "buy", "write")
    load.wait_for_answers(100)
    stopping_node = deployment.local.nodes["s-1"]
    with ThreadPoolExecutor() as pool:
        slow = deployment.start_slow_requests(pool)
        stopping_node.send_signal(signal.SIGTERM)
        exit_code = stopping_node.wait_for_exit()
    assert [a.result() for a in slow if a.result().status != 200] == []
    load.wait_for_answers(100)
    answers = load.stop()
    assert exit_code == 0
    check_guarantees(answers, deployment.count_runs())
    unkeyed = [a for a in answers if a.kind not in _KEYED_KINDS]
    assert [a for a in unkeyed if a.status != 200] == []


def test_two_nodes_that_stop_at_once_drop_no_request(
    deployment: Deployment,
) -> None:
    """The entry node and the node of an upstream drain at the same time.

    Running requests must be answered, and the load must go to the node that
    keeps running.
    """
    stopping_nodes = [deployment.local.nodes[n] for n in ("entry", "s-1")]
    load = CallerLoad(
        deployment.local.nodes["s-2"].port("caller"), ("read", "write")
    )
    load.wait_for_answers(100)
    with ThreadPoolExecutor() as pool:
        slow = deployment.start_slow_requests(pool)
        for node in stopping_nodes:
            node.send_signal(signal.SIGTERM)
        exit_codes = [node.wait_for_exit() for node in stopping_nodes]
    assert [a.result() for a in slow if a.result().status != 200] == []
    load.wait_for_answers(100)
    answers = load.stop()
    assert exit_codes == [0, 0]
    check_guarantees(answers, deployment.count_runs())
    assert [a for a in answers if a.status != 200] == []


def test_answers_match_the_runs_after_an_upstream_is_killed(
    deployment: Deployment,
) -> None:
    """The process of an upstream is killed while it runs requests.

    The answers must agree with the runs at the other upstream, reads must be
    retried until they succeed, and later requests must not fail.
    """
    load = deployment.start_load("read", "buy", "write")
    load.wait_for_answers(100)
    deployment.local.upstreams["s-1"].send_signal(signal.SIGKILL)
    load.wait_for_answers(200)
    answers = load.stop()
    check_guarantees(answers, deployment.count_runs())
    assert [a for a in answers if a.kind == "read" and a.status != 200] == []
    unkeyed = [a for a in answers if a.kind not in _KEYED_KINDS]
    assert {a.status for a in unkeyed[-_CALLER_COUNT:]} == {200}


def test_no_key_runs_twice_when_its_owner_is_paused(
    deployment: Deployment,
) -> None:
    """Another node may own the key slots when the paused owner continues.

    The old owner must not run a key that the new owner has run.
    """
    load = deployment.start_load("try")
    load.wait_for_answers(50)
    paused = deployment.local.nodes["s-1"]
    paused.send_signal(signal.SIGSTOP)
    load.wait_for_answers(40)
    paused.send_signal(signal.SIGCONT)
    count_at_resume = len(load.answers)
    load.wait_for_answers(100)
    answers = load.stop()
    port = deployment.local.nodes["entry"].port("caller")
    # A resend of each request that has failed so far must not run it again.
    successful = {a.run_id for a in answers if a.status == 200}
    for run_id in {a.run_id for a in answers} - successful:
        answers.append(send_request(port, "try", run_id, "resend"))
    run_counts = deployment.count_runs()
    check_guarantees(answers, run_counts)
    finally_successful = {a.run_id for a in answers if a.status == 200}
    assert [
        run_id for run_id in finally_successful if run_counts[run_id] != 1
    ] == []
    assert 200 in {a.status for a in answers[count_at_resume:]}


def test_requests_go_on_while_the_platform_is_down(
    deployment: Deployment,
) -> None:
    """All requests must succeed while the platform is down, then refuses."""
    load = deployment.start_load("read", "buy", "write")
    load.wait_for_answers(50)
    deployment.local.set_platform_faults(outage=True)
    load.wait_for_answers(300)
    deployment.local.set_platform_faults(refuse=True)
    load.wait_for_answers(100)
    deployment.local.set_platform_faults()
    load.wait_for_answers(50)
    answers = load.stop()
    check_guarantees(answers, deployment.count_runs())
    assert [a for a in answers if a.status != 200] == []


def test_node_exits_if_its_port_is_taken(tmp_path: Path) -> None:
    """A node that cannot listen must not keep running without serving."""
    local = LocalDeployment(tmp_path)
    try:
        first = local.start_node("first", "a")
        with pytest.raises(RuntimeError, match="exited with code 1 before"):
            local.start_node(
                "second", "a", "--caller-port", str(first.port("caller"))
            )
    finally:
        local.close()
