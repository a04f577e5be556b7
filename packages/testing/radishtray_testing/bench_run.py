"""One measured run of a scenario with real processes."""

import json
import time
import urllib.request
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import psutil

from radishtray_protocol import Document, parse_document
from radishtray_testing.bench_deployments import Deployment
from radishtray_testing.bench_scenarios import Scenario, Stage, event_times
from radishtray_testing.load_plan import LoadPlan
from radishtray_testing.processes import (
    LOOPBACK,
    LocalDeployment,
    ManagedProcess,
)

# The key slots of a service are spread over its upstreams within this time;
# until then all keyed requests go to the first one.
_IDLE_S = 10.0
_SETTLE_S = 3.0
_FIXED = "fixed"
_VARIED = "gamma"


class RunOptions:
    """What one run is made of.

    Attributes:
        deployment: Sizes and kinds.
        scenario: Load and faults.
        policy: Admission policy of all nodes.
        seed: Seed of the load and of the times of work.
        seconds: Length of the load.
        directory: For logs and the load plan.
    """

    __slots__ = (
        "deployment",
        "directory",
        "policy",
        "scenario",
        "seconds",
        "seed",
    )

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        policy: str,
        seed: int,
        seconds: float,
        directory: Path,
    ) -> None:
        """Holds the parts."""
        self.deployment = deployment
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.seconds = seconds
        self.directory = directory


class _CallerProcess(ManagedProcess):
    """The load tool, which prints its results as a second line."""

    __slots__ = ()

    def results(self) -> dict[str, Any]:
        """Waits for the results."""
        assert self._process.stdout is not None
        results: dict[str, Any] = json.loads(self._process.stdout.readline())
        return results


class _Usage:
    """Processor time and memory of the nodes at one time."""

    __slots__ = ("cpu_s", "rss_mb")

    def __init__(self, local: LocalDeployment) -> None:
        processes = [psutil.Process(n.pid) for n in local.nodes.values()]
        times = [process.cpu_times() for process in processes]
        self.cpu_s = float(sum(t.user + t.system for t in times))
        self.rss_mb = [p.memory_info().rss / 2**20 for p in processes]


def run(options: RunOptions) -> dict[str, Any]:
    """Starts all processes, runs the load and collects what was seen.

    Returns:
        The measurements as JSON values.
    """
    local = LocalDeployment(options.directory)
    try:
        document = _start(local, options)
        idle = _Usage(local)
        time.sleep(_IDLE_S)
        before = _Usage(local)
        loads = _run_load(local, options, document)
        after = _Usage(local)
        time.sleep(_SETTLE_S)
        seen = _collect_effects(local)
        nodes = len(local.nodes)
        counters = _collect_counters(local)
        control_s = (before.cpu_s - idle.cpu_s) / _IDLE_S / nodes
        return {
            "policy": options.policy,
            "seed": options.seed,
            "seconds": options.seconds,
            "kinds": loads["kinds"],
            "false_refusals": false_refusals(loads["not_run"], seen["runs"]),
            "not_run_answers": len(loads["not_run"]),
            "duplicated_effects": sum(n > 1 for n in seen["effects"].values()),
            "effects": len(seen["effects"]),
            "most_retries_run": most_retries(seen["chains"]),
            "chain_ms": {
                kind["kind"]["name"]: options.deployment.chain_ms(
                    document, kind["kind"]["name"]
                )
                for kind in loads["kinds"]
            },
            "control_cpu_share": control_s,
            "node_cpu_s": after.cpu_s - before.cpu_s,
            "node_rss_mb": max(after.rss_mb),
            "counters": counters,
            "begun": _begun(local),
            "ended_processes": _ended(local),
        }
    finally:
        local.close()


def _start(local: LocalDeployment, options: RunOptions) -> Document:
    deployment = options.deployment
    text = deployment.document_text()
    file = options.directory / "document.yaml"
    file.write_text(text, encoding="utf-8")
    document = parse_document({file.name: text}).ok
    is_baseline = options.policy == "none"
    selection = "random" if is_baseline else "adaptive"
    retries = "per_hop" if is_baseline else "budget"
    for size in deployment.services:
        for index in range(size.upstreams):
            local.start_node(
                f"{size.name}-{index}",
                deployment.domains[index % len(deployment.domains)],
                "--admission-policy",
                options.policy,
                "--selection-policy",
                selection,
                "--retry-policy",
                retries,
                "--log-level",
                "warning",
            )
    is_steady = options.scenario.name == "steady"
    for size in deployment.services:
        plan = json.dumps(deployment.work_plan(size.name, document))
        for index in range(size.upstreams):
            local.start_upstream(
                f"{size.name}-{index}",
                "--service",
                size.name,
                "--slots",
                str(size.slots),
                "--service-ms",
                str(size.scaled_ms),
                "--plan",
                plan,
                "--distribution",
                _FIXED if is_steady else _VARIED,
                "--seed",
                str(options.seed * 100 + index),
            )
    code, output = local.run_ctl("config", "apply", str(file))
    if code:
        raise RuntimeError(output)
    local.wait_until_ready(1, deployment.upstreams)
    return document


def _run_load(
    local: LocalDeployment, options: RunOptions, document: Document
) -> dict[str, Any]:
    deployment, scenario = options.deployment, options.scenario
    plan = LoadPlan(deployment.load(document), scenario.phases(options.seconds))
    file = options.directory / "load.json"
    file.write_text(plan.encode(), encoding="utf-8")
    stage = Stage(local, deployment)
    # Callers do not use entries in the domain that stands still.
    entries = ",".join(
        f"{LOOPBACK}:{node.port('caller')}"
        for node in local.nodes.values()
        if node.failure_domain != deployment.domains[-1]
    )
    caller = _CallerProcess(
        "caller",
        [
            "radishtray_testing.caller",
            "--plan",
            str(file),
            "--entries",
            entries,
            "--seed",
            str(options.seed),
        ],
        options.directory,
    )
    try:
        started_s = time.monotonic()
        begin_s, end_s = event_times(options.seconds)
        _sleep_until(started_s + begin_s)
        if scenario.begin is not None:
            scenario.begin(stage)
        _sleep_until(started_s + end_s)
        if scenario.end is not None:
            scenario.end(stage)
        return caller.results()
    finally:
        caller.close()


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


def _begun(local: LocalDeployment) -> dict[str, dict[str, int]]:
    """Returns the counters of every running upstream."""
    return {
        node_id: _get(upstream, "/counters")
        for node_id, upstream in local.upstreams.items()
        if upstream.is_running
    }


def _get(upstream: ManagedProcess, path: str) -> dict[str, Any]:
    port = int(upstream.ready_info["control_port"])
    url = f"http://{LOOPBACK}:{port}{path}"
    with urllib.request.urlopen(url, timeout=20) as answer:
        shown: dict[str, Any] = json.load(answer)
        return shown


def _collect_effects(local: LocalDeployment) -> dict[str, Counter[str]]:
    seen: dict[str, Counter[str]] = {
        "effects": Counter(),
        "runs": Counter(),
        "chains": Counter(),
    }
    for upstream in local.upstreams.values():
        if not upstream.is_running:
            continue
        for name, counts in _get(upstream, "/effects").items():
            seen[name].update(counts)
    return seen


def _collect_counters(local: LocalDeployment) -> dict[str, float]:
    """Sums the counters of all nodes; series that are 0 are left out."""
    totals: dict[str, float] = defaultdict(float)
    for node in local.nodes.values():
        text = node.call_operator_api("GET", "/metrics").decode()
        for line in text.splitlines():
            series, _, value = line.rpartition(" ")
            is_counter = series.partition("{")[0].endswith(("_total", "_bytes"))
            if is_counter and not line.startswith("#") and float(value):
                totals[series] += float(value)
    return dict(totals)


def false_refusals(not_run: list[str], runs: Counter[str]) -> int:
    """Counts attempts that were answered `not_run` and yet began."""
    return sum(run_id in runs for run_id in not_run)


def most_retries(chains: Counter[str]) -> int:
    """Most further runs begun within one chain; equal calls count once."""
    retries: Counter[str] = Counter()
    for name, count in chains.items():
        retries[name.partition(" ")[0]] += count - 1
    return max(retries.values(), default=0)


def _ended(local: LocalDeployment) -> list[str]:
    processes = [*local.nodes.values(), *local.upstreams.values()]
    return [p.name for p in processes if not p.is_running]
