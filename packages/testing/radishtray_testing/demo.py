"""`make demo`: a small deployment on loopback, with real requests and a drain.

Six nodes with their upstreams in three failure domains serve purchases through
a three-deep chain. One node is drained in the middle. The exit code is 0 only
if every request was answered whole and no purchase ran twice.
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

_EXAMPLE = "examples/pasaporte-gremlin.yaml"
_DOMAINS = ("cr-a", "cr-b", "cr-c")
_PLANS: dict[str, dict[str, Any]] = {
    "taquilla": {"compras": {"ms": 10, "calls": ["POST /call/gafete/gafetes"]}},
    "gafete": {
        "gafetes": {"ms": 5, "calls": ["GET /call/catalogo/eventos/7/aforo"]}
    },
    "catalogo": {"eventos": {"ms": 2, "calls": []}},
}
_SLOTS = {"taquilla": 60, "gafete": 60, "catalogo": 40}
_CALLERS = 8
_ROUNDS = 60
_DRAIN_AFTER_S = 0.5
_RETRIES_OF_CALLER = 20
_PAUSE_S = 0.05


class _Outcomes:
    """What the callers saw.

    Attributes:
        counts: Final answers by kind and status.
        resends: Further sends by reason of the refusal before.
        keys: Keys of purchases that were answered with success.
        mismatches: Resends that got another answer than the first send.
    """

    __slots__ = ("counts", "keys", "mismatches", "resends")

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, int]] = Counter()
        self.resends: Counter[str] = Counter()
        self.keys: set[str] = set()
        self.mismatches = 0


class _Caller:
    """Sends purchases and reads through one entry node, one at a time."""

    __slots__ = ("_client", "_outcomes", "_reactor", "_rng")

    def __init__(
        self, reactor: Any, port: int, outcomes: _Outcomes, seed: int
    ) -> None:
        self._reactor = reactor
        self._client = HttpClient(reactor, LOOPBACK, port, 2)
        self._outcomes = outcomes
        self._rng = random.Random(seed)

    async def run(self, rounds: int) -> None:
        """Runs rounds of one purchase, its resend and one read."""
        for _ in range(rounds):
            await self._purchase()
            answer = await self._send("GET", "/catalogo/eventos", [])
            status = answer.status if answer else 0
            self._outcomes.counts["read", status] += 1

    async def _purchase(self) -> None:
        """Repeats a purchase until it ran; `not_run` is safe to repeat."""
        key = str(RequestKey.generate(SystemClock(), self._rng))
        first = "first"
        answer = None
        for _ in range(_RETRIES_OF_CALLER):
            headers = ["Idempotency-Key", key, "Radishtray-Send", first]
            answer = await self._send("POST", "/taquilla/compras", headers)
            if answer is not None and answer.status == 200:
                break
            reason = "connection"
            first = "resend"
            if answer is not None:
                reason = answer.header("Radishtray-Reason") or "failed"
                fresh = answer.header("Radishtray-Retry-Key")
                if fresh is not None:
                    key, first = fresh, "first"
            self._outcomes.resends[reason] += 1
            await deferLater(self._reactor, _PAUSE_S)
        status = answer.status if answer else 0
        self._outcomes.counts["purchase", status] += 1
        if answer is not None and status == 200:
            self._outcomes.keys.add(key)
            await self._check_resend(key, answer)

    async def _check_resend(self, key: str, first: HttpResponse) -> None:
        """A resend of a finished purchase gets the first run's answer."""
        headers = ["Idempotency-Key", key]
        answer = await self._send("POST", "/taquilla/compras", headers)
        if answer is None or answer.body != first.body:
            self._outcomes.mismatches += 1

    def _send(
        self, method: str, path: str, headers: list[str]
    ) -> "Deferred[HttpResponse | None]":
        done: Deferred[HttpResponse | None] = Deferred()

        def failed(_failure: RequestFailure) -> None:
            done.callback(None)

        self._client.request(method, path, headers, b"", done.callback, failed)
        return done

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()


def _start(deployment: LocalDeployment) -> None:
    """Starts two nodes with upstreams for each service."""
    index = 0
    for service, plan in _PLANS.items():
        for number in (1, 2):
            node_id = f"{service}-{number}"
            deployment.start_node(node_id, _DOMAINS[index % len(_DOMAINS)])
            deployment.start_upstream(
                node_id,
                *("--service", service),
                *("--slots", str(_SLOTS[service])),
                *("--plan", json.dumps(plan)),
            )
            index += 1


def _busiest_owner(deployment: LocalDeployment, service: str) -> NodeProcess:
    """Returns the node of a service that owns the most key slots."""
    nodes = [n for i, n in deployment.nodes.items() if i.startswith(service)]
    return max(nodes, key=lambda node: int(node.status()["key_slots_owned"]))


async def _drive(
    reactor: Any,
    deployment: LocalDeployment,
    outcomes: _Outcomes,
    drained: NodeProcess,
) -> None:
    entries = [n for n in deployment.nodes.values() if n is not drained]
    callers = [
        _Caller(
            reactor,
            entries[number % len(entries)].port("caller"),
            outcomes,
            number,
        )
        for number in range(_CALLERS)
    ]
    draining = deferLater(
        reactor,
        _DRAIN_AFTER_S,
        lambda: drained.operator("POST", "/drain"),
    )
    running = [Deferred.fromCoroutine(c.run(_ROUNDS)) for c in callers]
    await gatherResults([draining, *running])
    for caller in callers:
        caller.close()


def _effects(deployment: LocalDeployment) -> Counter[str]:
    """Returns how often each purchase was begun, over all upstreams."""
    effects: Counter[str] = Counter()
    for node_id, upstream in deployment.upstreams.items():
        if not node_id.startswith("taquilla"):
            continue
        port = upstream.ready["control_port"]
        url = f"http://{LOOPBACK}:{port}/effects"
        with urllib.request.urlopen(url, timeout=10) as answer:
            effects.update(json.load(answer)["effects"])
    return effects


def _counters(deployment: LocalDeployment) -> Counter[str]:
    """Returns the nodes' counters of refusals and retries, summed."""
    found: Counter[str] = Counter()
    for node in deployment.nodes.values():
        if not node.is_running:
            continue
        for line in node.operator("GET", "/metrics").decode().splitlines():
            name, _, value = line.rpartition(" ")
            if name.startswith(
                (
                    "radishtray_refusals_total",
                    "radishtray_retries_total",
                    "radishtray_attempts_total",
                    "radishtray_key_redirects_total",
                )
            ):
                found[name] += int(float(value))
    return +found


def _report(
    outcomes: _Outcomes,
    effects: Counter[str],
    counters: Counter[str],
    exit_code: int,
) -> bool:
    duplicates = sum(1 for count in effects.values() if count > 1)
    lost = sum(1 for key in outcomes.keys if effects[key] == 0)
    print("| outcome | count |\n|---|---|")
    for (kind, status), count in sorted(outcomes.counts.items()):
        print(f"| {kind} answered {status} | {count} |")
    for reason, count in sorted(outcomes.resends.items()):
        print(f"| purchase sent again after {reason} | {count} |")
    print(f"| resends with another answer | {outcomes.mismatches} |")
    print(f"| purchases run twice | {duplicates} |")
    print(f"| purchases answered but not run | {lost} |")
    print(f"| exit code of the drained node | {exit_code} |")
    print("\n| counter | sum over nodes |\n|---|---|")
    for name, count in sorted(counters.items()):
        print(f"| {name} | {count} |")
    whole = all(status == 200 for _, status in outcomes.counts)
    return whole and not (
        duplicates or lost or outcomes.mismatches or exit_code
    )


def main() -> int:
    """Runs the demo.

    Returns:
        0 if all was whole, 1 if not.
    """
    reactor: Any = default_reactor
    outcomes = _Outcomes()
    results: list[bool] = []
    log_directory = Path(tempfile.mkdtemp(prefix="radishtray-demo-"))
    deployment = LocalDeployment(log_directory)

    async def run() -> None:
        _start(deployment)
        code, output = deployment.control("config", "apply", _EXAMPLE)
        print(output.strip())
        if code:
            return
        deployment.wait_until_ready(1, len(deployment.nodes))
        deployment.wait_until_slots_are_owned(len(_PLANS))
        drained = _busiest_owner(deployment, "gafete")
        await _drive(reactor, deployment, outcomes, drained)
        exit_code = drained.wait()
        results.append(
            _report(
                outcomes,
                _effects(deployment),
                _counters(deployment),
                exit_code,
            )
        )

    def start() -> None:
        done = Deferred.fromCoroutine(run())
        done.addErrback(lambda failure: failure.printTraceback())
        done.addBoth(lambda _: reactor.stop())

    try:
        reactor.callWhenRunning(start)
        reactor.run()
    finally:
        deployment.close()
    is_whole = bool(results and results[0])
    print("\nall whole" if is_whole else f"\nnot whole; logs: {log_directory}")
    return 0 if is_whole else 1


if __name__ == "__main__":
    sys.exit(main())
