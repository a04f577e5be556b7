"""Runs one scenario of the bench with real processes and measures it."""

import json
import time
import urllib.request
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import psutil

from radishtray_protocol import Document, parse_document
from radishtray_testing.bench_deployments import Deployment
from radishtray_testing.bench_scenarios import (
    FaultInjector,
    Scenario,
    event_times,
)
from radishtray_testing.load_plan import LoadPlan
from radishtray_testing.processes import (
    LOOPBACK,
    LocalDeployment,
    ManagedProcess,
)

# Time between readiness and the load. The nodes spread the key slots of each
# service over its upstreams in this time; until then all keyed requests go to
# the first upstream. The processor time used in it is that of the control plane
# alone.
_IDLE_PERIOD_S = 10.0
# Time between the end of the load and reading the effects.
_SETTLE_S = 3.0
_FIXED_DISTRIBUTION = "fixed"
_VARIABLE_DISTRIBUTION = "gamma"


class RunOptions:
    """Options of one run.

    Attributes:
        deployment: Services, sizes and request mix.
        scenario: Load phases and fault.
        policy: Admission policy of all nodes.
        seed: Seed of the load and of the service times.
        seconds: Duration of the load.
        directory: Directory of the logs, the document and the load plan.
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
        """Creates options from their attributes."""
        self.deployment = deployment
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.seconds = seconds
        self.directory = directory


class _CallerProcess(ManagedProcess):
    """The load tool, which prints its results as its second line."""

    __slots__ = ()

    def wait_for_results(self) -> dict[str, Any]:
        """Blocks until the load has ended and returns its results."""
        assert self._process.stdout is not None
        results: dict[str, Any] = json.loads(self._process.stdout.readline())
        return results


class _NodeUsage:
    """Processor time of all nodes and memory of each at its creation."""

    __slots__ = ("cpu_s", "rss_mb")

    def __init__(self, processes: LocalDeployment) -> None:
        node_processes = [
            psutil.Process(n.pid) for n in processes.nodes.values()
        ]
        times = [process.cpu_times() for process in node_processes]
        self.cpu_s = float(sum(t.user + t.system for t in times))
        self.rss_mb = [p.memory_info().rss / 2**20 for p in node_processes]


def run_scenario(options: RunOptions) -> dict[str, Any]:
    """Starts all processes, runs the load and collects the measurements.

    Returns:
        The measurements as JSON values.
    """
    processes = LocalDeployment(options.directory)
    try:
        document = _start_deployment(processes, options)
        idle_start = _NodeUsage(processes)
        time.sleep(_IDLE_PERIOD_S)
        load_start = _NodeUsage(processes)
        load_results = _run_load(processes, options, document)
        load_end = _NodeUsage(processes)
        time.sleep(_SETTLE_S)
        observed = _collect_effects(processes)
        node_count = len(processes.nodes)
        counters = _collect_counters(processes)
        control_cpu_share = (
            (load_start.cpu_s - idle_start.cpu_s) / _IDLE_PERIOD_S / node_count
        )
        return {
            "policy": options.policy,
            "seed": options.seed,
            "seconds": options.seconds,
            "kinds": load_results["kinds"],
            "false_refusals": count_false_refusals(
                load_results["not_run"], observed["runs"]
            ),
            "not_run_answers": len(load_results["not_run"]),
            "duplicated_effects": sum(
                n > 1 for n in observed["effects"].values()
            ),
            "effects": len(observed["effects"]),
            "most_retries_run": max_retries_per_chain(observed["chains"]),
            "chain_ms": {
                kind["kind"]["name"]: options.deployment.chain_service_ms(
                    document, kind["kind"]["name"]
                )
                for kind in load_results["kinds"]
            },
            "control_cpu_share": control_cpu_share,
            "node_cpu_s": load_end.cpu_s - load_start.cpu_s,
            "node_rss_mb": max(load_end.rss_mb),
            "counters": counters,
            "begun": _upstream_counters(processes),
            "ended_processes": _ended_processes(processes),
        }
    finally:
        processes.close()


def _start_deployment(
    processes: LocalDeployment, options: RunOptions
) -> Document:
    deployment = options.deployment
    text = deployment.document_text()
    document_path = options.directory / "document.yaml"
    document_path.write_text(text, encoding="utf-8")
    document = parse_document({document_path.name: text}).ok
    # Without admission control, the nodes also select upstreams at random and
    # retry at each hop.
    is_admission_off = options.policy == "none"
    selection_policy = "random" if is_admission_off else "adaptive"
    retry_policy = "per_hop" if is_admission_off else "budget"
    for size in deployment.services:
        for index in range(size.upstream_count):
            processes.start_node(
                f"{size.name}-{index}",
                deployment.failure_domains[
                    index % len(deployment.failure_domains)
                ],
                "--admission-policy",
                options.policy,
                "--selection-policy",
                selection_policy,
                "--retry-policy",
                retry_policy,
                "--log-level",
                "warning",
            )
    is_steady = options.scenario.name == "steady"
    for size in deployment.services:
        plan = json.dumps(deployment.work_plan(size.name, document))
        for index in range(size.upstream_count):
            processes.start_upstream(
                f"{size.name}-{index}",
                "--service",
                size.name,
                "--slots",
                str(size.slots_per_upstream),
                "--service-ms",
                str(size.scaled_service_ms),
                "--plan",
                plan,
                "--distribution",
                _FIXED_DISTRIBUTION if is_steady else _VARIABLE_DISTRIBUTION,
                "--seed",
                str(options.seed * 100 + index),
            )
    code, output = processes.run_ctl("config", "apply", str(document_path))
    if code:
        raise RuntimeError(output)
    processes.wait_until_ready(1, deployment.upstream_count)
    return document


def _run_load(
    processes: LocalDeployment, options: RunOptions, document: Document
) -> dict[str, Any]:
    deployment, scenario = options.deployment, options.scenario
    plan = LoadPlan(
        deployment.kind_loads(document), scenario.phases(options.seconds)
    )
    plan_path = options.directory / "load.json"
    plan_path.write_text(plan.encode(), encoding="utf-8")
    injector = FaultInjector(processes, deployment)
    # The scenario domain_cut suspends the last failure domain, so callers do
    # not use its nodes as entries.
    entries = ",".join(
        f"{LOOPBACK}:{node.port('caller')}"
        for node in processes.nodes.values()
        if node.failure_domain != deployment.failure_domains[-1]
    )
    caller = _CallerProcess(
        "caller",
        [
            "radishtray_testing.caller",
            "--plan",
            str(plan_path),
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
        if scenario.begin_fault is not None:
            scenario.begin_fault(injector)
        _sleep_until(started_s + end_s)
        if scenario.end_fault is not None:
            scenario.end_fault(injector)
        return caller.wait_for_results()
    finally:
        caller.close()


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


def _upstream_counters(processes: LocalDeployment) -> dict[str, dict[str, int]]:
    """Returns the counters of every running upstream by node id."""
    return {
        node_id: _get_json(upstream, "/counters")
        for node_id, upstream in processes.upstreams.items()
        if upstream.is_running
    }


def _get_json(upstream: ManagedProcess, path: str) -> dict[str, Any]:
    port = int(upstream.ready_info["control_port"])
    url = f"http://{LOOPBACK}:{port}{path}"
    with urllib.request.urlopen(url, timeout=20) as response:
        content: dict[str, Any] = json.load(response)
        return content


def _collect_effects(processes: LocalDeployment) -> dict[str, Counter[str]]:
    """Returns the runs begun at all running upstreams, counted three ways.

    `effects` counts them by idempotency key, `runs` by run id, and `chains` by
    the request id of the chain and the call.
    """
    observed: dict[str, Counter[str]] = {
        "effects": Counter(),
        "runs": Counter(),
        "chains": Counter(),
    }
    for upstream in processes.upstreams.values():
        if not upstream.is_running:
            continue
        for name, counts in _get_json(upstream, "/effects").items():
            observed[name].update(counts)
    return observed


def _collect_counters(processes: LocalDeployment) -> dict[str, float]:
    """Returns each counter series summed over all nodes, without zeros."""
    totals: dict[str, float] = defaultdict(float)
    for node in processes.nodes.values():
        text = node.call_operator_api("GET", "/metrics").decode()
        for line in text.splitlines():
            series, _, value = line.rpartition(" ")
            is_counter = series.partition("{")[0].endswith(("_total", "_bytes"))
            if is_counter and not line.startswith("#") and float(value):
                totals[series] += float(value)
    return dict(totals)


def count_false_refusals(not_run: list[str], runs: Counter[str]) -> int:
    """Counts attempts that were answered `not_run` although they had begun.

    Args:
        not_run: Run ids of the attempts answered `not_run`.
        runs: Runs begun at the upstreams, by run id.
    """
    return sum(run_id in runs for run_id in not_run)


def max_retries_per_chain(chains: Counter[str]) -> int:
    """Returns the most retries that began within one chain of calls.

    Args:
        chains: Runs begun at the upstreams, by request id and call. The first
            run of each call is not a retry.
    """
    retries: Counter[str] = Counter()
    for name, count in chains.items():
        retries[name.partition(" ")[0]] += count - 1
    return max(retries.values(), default=0)


def _ended_processes(processes: LocalDeployment) -> list[str]:
    managed = [*processes.nodes.values(), *processes.upstreams.values()]
    return [p.name for p in managed if not p.is_running]
