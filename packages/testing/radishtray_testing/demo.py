"""`make demo`: a small deployment on the loopback interface under load.

Six nodes, each with an upstream, run in three failure domains. Each purchase
passes through a chain of three services. One node is drained while the callers
send requests. The exit code is 0 only if every request got status 200, no
purchase ran twice, none was answered without a run, every resend got the answer
of the first run, and the drained node exited with 0.
"""

import json
import random
import sys
import tempfile
import urllib.request
from collections import Counter
from pathlib import Path
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from radishtray_state import RequestKey, SystemClock
from radishtray_testing.processes import (
    LOOPBACK,
    LocalDeployment,
    NodeProcess,
)
from radishtray_transport import HttpClient, HttpResponse, RequestFailure

_CONFIGURATION_FILE = "examples/pasaporte-gremlin.yaml"
_FAILURE_DOMAINS = ("cr-a", "cr-b", "cr-c")
_WORK_PLANS: dict[str, dict[str, Any]] = {
    "taquilla": {"compras": {"ms": 10, "calls": ["POST /call/gafete/gafetes"]}},
    "gafete": {
        "gafetes": {"ms": 5, "calls": ["GET /call/catalogo/eventos/7/aforo"]}
    },
    "catalogo": {"eventos": {"ms": 2, "calls": []}},
}
_SLOTS_BY_SERVICE = {"taquilla": 60, "gafete": 60, "catalogo": 40}
_CALLER_COUNT = 8
_ROUNDS_PER_CALLER = 60
_DRAIN_DELAY_S = 0.5
_MAX_SENDS_PER_PURCHASE = 20
_RESEND_DELAY_S = 0.05


class _Outcomes:
    """Results that the callers observed.

    Attributes:
        answer_counts: Final answers by kind of request and status; status 0
            means that there was no answer.
        resends_by_reason: Repeated sends of purchases, by the reason why the
            send before failed.
        successful_keys: Keys of the purchases that were answered with 200.
        mismatched_resends: Resends of successful purchases that got another
            answer than the first run.
    """

    __slots__ = (
        "answer_counts",
        "mismatched_resends",
        "resends_by_reason",
        "successful_keys",
    )

    def __init__(self) -> None:
        self.answer_counts: Counter[tuple[str, int]] = Counter()
        self.resends_by_reason: Counter[str] = Counter()
        self.successful_keys: set[str] = set()
        self.mismatched_resends = 0


class _Caller:
    """Sends purchases and reads through one entry node, one after another."""

    __slots__ = ("_client", "_outcomes", "_reactor", "_rng")

    def __init__(
        self, reactor: Any, port: int, outcomes: _Outcomes, seed: int
    ) -> None:
        self._reactor = reactor
        self._client = HttpClient(reactor, LOOPBACK, port, 2)
        self._outcomes = outcomes
        self._rng = random.Random(seed)

    async def run(self, rounds: int) -> None:
        """Runs rounds, each of one purchase, its resend and one read."""
        for _ in range(rounds):
            await self._purchase()
            answer = await self._send("GET", "/catalogo/eventos", [])
            status = answer.status if answer else 0
            self._outcomes.answer_counts["read", status] += 1

    async def _purchase(self) -> None:
        """Sends a purchase until it succeeds or the sends are used up.

        Repeating is safe: a resend carries the same idempotency key, so the
        purchase cannot run twice. If a refusal names a retry key, it was
        `not_run`, and the next send is a first send with that key.
        """
        key = str(RequestKey.generate(SystemClock(), self._rng))
        send_type = "first"
        answer = None
        for _ in range(_MAX_SENDS_PER_PURCHASE):
            headers = ["Idempotency-Key", key, "Radishtray-Send", send_type]
            answer = await self._send("POST", "/taquilla/compras", headers)
            if answer is not None and answer.status == 200:
                break
            reason = "connection"
            send_type = "resend"
            if answer is not None:
                reason = answer.header("Radishtray-Reason") or "failed"
                retry_key = answer.header("Radishtray-Retry-Key")
                if retry_key is not None:
                    key, send_type = retry_key, "first"
            self._outcomes.resends_by_reason[reason] += 1
            await deferLater(self._reactor, _RESEND_DELAY_S)
        status = answer.status if answer else 0
        self._outcomes.answer_counts["purchase", status] += 1
        if answer is not None and status == 200:
            self._outcomes.successful_keys.add(key)
            await self._check_resend(key, answer)

    async def _check_resend(self, key: str, first_answer: HttpResponse) -> None:
        """Checks that a resend of a purchase gets the first run's answer."""
        headers = ["Idempotency-Key", key]
        answer = await self._send("POST", "/taquilla/compras", headers)
        if answer is None or answer.body != first_answer.body:
            self._outcomes.mismatched_resends += 1

    def _send(
        self, method: str, path: str, headers: list[str]
    ) -> "Deferred[HttpResponse | None]":
        """Sends one request; the result is None if there is no answer."""
        result: Deferred[HttpResponse | None] = Deferred()

        def on_failure(_failure: RequestFailure) -> None:
            result.callback(None)

        self._client.request(
            method, path, headers, b"", result.callback, on_failure
        )
        return result

    def close(self) -> None:
        """Closes the connections to the entry node."""
        self._client.close()


def _start_processes(deployment: LocalDeployment) -> None:
    """Starts two nodes, each with an upstream, for each service."""
    index = 0
    for service, plan in _WORK_PLANS.items():
        for number in (1, 2):
            node_id = f"{service}-{number}"
            deployment.start_node(
                node_id, _FAILURE_DOMAINS[index % len(_FAILURE_DOMAINS)]
            )
            deployment.start_upstream(
                node_id,
                *("--service", service),
                *("--slots", str(_SLOTS_BY_SERVICE[service])),
                *("--plan", json.dumps(plan)),
            )
            index += 1


def _find_owner_of_most_key_slots(
    deployment: LocalDeployment, service: str
) -> NodeProcess:
    """Returns the node of a service that owns the most key slots."""
    nodes = [
        candidate
        for node_id, candidate in deployment.nodes.items()
        if node_id.startswith(service)
    ]
    return max(nodes, key=lambda node: int(node.status()["key_slots_owned"]))


async def _run_load(
    reactor: Any,
    deployment: LocalDeployment,
    outcomes: _Outcomes,
    drained_node: NodeProcess,
) -> None:
    """Runs all callers and drains one node after `_DRAIN_DELAY_S`."""
    entry_nodes = [
        node for node in deployment.nodes.values() if node is not drained_node
    ]
    callers = [
        _Caller(
            reactor,
            entry_nodes[number % len(entry_nodes)].port("caller"),
            outcomes,
            number,
        )
        for number in range(_CALLER_COUNT)
    ]
    draining = deferLater(
        reactor,
        _DRAIN_DELAY_S,
        lambda: drained_node.call_operator_api("POST", "/drain"),
    )
    running = [
        Deferred.fromCoroutine(c.run(_ROUNDS_PER_CALLER)) for c in callers
    ]
    await gatherResults([draining, *running])
    for caller in callers:
        caller.close()


def _count_runs_by_key(deployment: LocalDeployment) -> Counter[str]:
    """Returns the started runs by purchase key, summed over the upstreams."""
    runs_by_key: Counter[str] = Counter()
    for node_id, upstream in deployment.upstreams.items():
        if not node_id.startswith("taquilla"):
            continue
        port = upstream.ready_info["control_port"]
        url = f"http://{LOOPBACK}:{port}/effects"
        with urllib.request.urlopen(url, timeout=10) as answer:
            runs_by_key.update(json.load(answer)["effects"])
    return runs_by_key


def _sum_counters(deployment: LocalDeployment) -> Counter[str]:
    """Returns counters of attempts and refusals, summed over running nodes."""
    totals: Counter[str] = Counter()
    for node in deployment.nodes.values():
        if not node.is_running:
            continue
        for line in (
            node.call_operator_api("GET", "/metrics").decode().splitlines()
        ):
            name, _, value = line.rpartition(" ")
            if name.startswith(
                (
                    "radishtray_refusals_total",
                    "radishtray_retries_total",
                    "radishtray_attempts_total",
                    "radishtray_key_redirects_total",
                )
            ):
                totals[name] += int(float(value))
    return +totals


def _print_report(
    outcomes: _Outcomes,
    runs_by_key: Counter[str],
    counters: Counter[str],
    exit_code: int,
) -> bool:
    """Prints the tables of results and returns whether the demo passed."""
    duplicates = sum(1 for count in runs_by_key.values() if count > 1)
    answered_not_run = sum(
        1 for key in outcomes.successful_keys if runs_by_key[key] == 0
    )
    print("| outcome | count |\n|---|---|")
    for (kind, status), count in sorted(outcomes.answer_counts.items()):
        print(f"| {kind} answered {status} | {count} |")
    for reason, count in sorted(outcomes.resends_by_reason.items()):
        print(f"| purchase sent again after {reason} | {count} |")
    print(f"| resends with another answer | {outcomes.mismatched_resends} |")
    print(f"| purchases run twice | {duplicates} |")
    print(f"| purchases answered but not run | {answered_not_run} |")
    print(f"| exit code of the drained node | {exit_code} |")
    print("\n| counter | sum over nodes |\n|---|---|")
    for name, count in sorted(counters.items()):
        print(f"| {name} | {count} |")
    all_answered = all(status == 200 for _, status in outcomes.answer_counts)
    return all_answered and not (
        duplicates
        or answered_not_run
        or outcomes.mismatched_resends
        or exit_code
    )


def main() -> int:
    """Runs the demo.

    Returns:
        0 if the demo passed (see the module's doc string), 1 if not.
    """
    reactor: Any = default_reactor
    outcomes = _Outcomes()
    results: list[bool] = []
    log_directory = Path(tempfile.mkdtemp(prefix="radishtray-demo-"))
    deployment = LocalDeployment(log_directory)

    async def run() -> None:
        _start_processes(deployment)
        code, output = deployment.run_ctl(
            "config", "apply", _CONFIGURATION_FILE
        )
        print(output.strip())
        if code:
            return
        deployment.wait_until_ready(1, len(deployment.nodes))
        deployment.wait_until_key_slots_are_owned(len(_WORK_PLANS))
        drained_node = _find_owner_of_most_key_slots(deployment, "gafete")
        await _run_load(reactor, deployment, outcomes, drained_node)
        exit_code = drained_node.wait_for_exit()
        results.append(
            _print_report(
                outcomes,
                _count_runs_by_key(deployment),
                _sum_counters(deployment),
                exit_code,
            )
        )

    def start() -> None:
        finished = Deferred.fromCoroutine(run())
        finished.addErrback(lambda failure: failure.printTraceback())
        finished.addBoth(lambda _: reactor.stop())

    try:
        reactor.callWhenRunning(start)
        reactor.run()
    finally:
        deployment.close()
    has_passed = bool(results and results[0])
    print(
        "\nall whole" if has_passed else f"\nnot whole; logs: {log_directory}"
    )
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
