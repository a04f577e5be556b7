"""Guards against figures that flatter a run and against wrong sizes."""

from typing import Any

import pytest

from radishtray_protocol import Document, parse_document
from radishtray_testing.bench_deployments import DEPLOYMENTS, Deployment
from radishtray_testing.bench_report import write_report
from radishtray_testing.bench_run import false_refusals, most_retries
from radishtray_testing.bench_scenarios import SCENARIOS
from radishtray_testing.bench_summary import RunSummary

SECONDS = 20.0
BINS = 200
# The event of a run of 20 s lasts from bin 40 to bin 100.
EVENT_END = 100


def measured(bad: range, weight: float = 1.0) -> dict[str, Any]:
    """Returns a run with one arrival a bin, lost in the bad bins."""
    served = [int(index not in bad) for index in range(BINS)]
    kind = {
        "kind": {"name": "s/k", "weight": weight},
        "bin_s": 0.1,
        "arrivals": [1] * BINS,
        "served": served,
        "completed": served,
        "latency_ms": {"50": 12.0, "99": 19.0},
    }
    return {
        "policy": "adaptive",
        "seed": 1,
        "seconds": SECONDS,
        "kinds": [kind],
        "chain_ms": {"s/k": 10.0},
        "counters": {"radishtray_attempts_total": 100.0},
        "node_cpu_s": 0.1,
        "most_retries_run": 0,
        "duplicated_effects": 0,
        "false_refusals": 0,
        "control_cpu_share": 0.01,
        "node_rss_mb": 50.0,
        "load_average": 3.0,
    }


# Name, bins without good answers, shares before and during, recovery.
CASES = [
    ("no_loss", range(0), 1.0, 1.0, 0.0),
    ("loss_in_the_event", range(40, 100), 1.0, 0.0, 0.0),
    ("slow_recovery", range(70, 130), 1.0, 0.5, 2.9),
    ("second_loss_counts", range(150, 160), 1.0, 1.0, 5.9),
    ("never", range(40, 200), 1.0, 0.0, 9.1),
]


@pytest.mark.parametrize("case", CASES, ids=[case[0] for case in CASES])
def test_summary(case: tuple[str, range, float, float, float]) -> None:
    _, bad, before, during, recovery_s = case
    summary = RunSummary(measured(bad))
    assert (summary.before, summary.during) == (before, during)
    assert summary.recovery_s == pytest.approx(recovery_s)
    assert summary.added_ms == (2.0, 9.0)
    assert summary.cpu_ms_per_call == pytest.approx(1.0)


def test_checks_of_effects() -> None:
    runs = {"c-1-0": 1, "c-2-0": 2}
    assert false_refusals(["c-1-0", "c-3-0"], runs) == 1
    assert most_retries({"r1 /a": 1, "r1 /b": 3, "r2 /a": 2}) == 2


def document(deployment: Deployment) -> Document:
    return parse_document({"d": deployment.document_text()}).ok


@pytest.mark.parametrize(
    ("name", "upstreams", "slots"),
    [("pasaporte", 13, 565), ("fundacion", 17, 2180)],
)
def test_deployment(name: str, upstreams: int, slots: int) -> None:
    deployment = DEPLOYMENTS[name]
    sizes = deployment.services
    assert deployment.upstreams == upstreams
    assert sum(s.upstreams * s.slots for s in sizes) == slots
    shown = document(deployment)
    widest = max(deployment.busy_share(shown).values())
    mix = {load.name: load.rate for load in deployment.load(shown)}
    assert sum(mix.values()) == pytest.approx(
        sum(rate for rate, _ in deployment.mix.values()) / widest
    )
    for load in deployment.load(shown):
        _, service, path = load.path.replace("{}", "1").split("/", 2)
        kind = shown.classify(service, load.method, f"/{path}")
        assert kind is not None
        assert kind.qualified_name == load.name
        assert deployment.chain_ms(shown, load.name) < load.deadline_s * 1000


def test_report(tmp_path: Any) -> None:
    runs = [RunSummary(measured(range(40, 60)))]
    page = write_report(tmp_path, "pasaporte", "surge", "command", runs)
    text = page.read_text(encoding="utf-8")
    assert "| adaptive | 1 | 1.000 | 0.667 | 1.000 |" in text
    assert (tmp_path / "pasaporte-surge.png").stat().st_size > 1_000


def test_scenarios_leave_the_load_calm_around_the_event() -> None:
    for scenario in SCENARIOS.values():
        before, during, after = scenario.phases(SECONDS)
        assert before.seconds + during.seconds + after.seconds == SECONDS
        assert before.factor == after.factor <= during.factor
