"""Tests the summary of a run, the deployments, scenarios and the report.

They guard against lost requests that do not lower the good share or extend the
recovery time, and against deployments whose size or load is wrong.
"""

from typing import Any

import pytest

from radishtray_protocol import Document, parse_document
from radishtray_testing.bench_deployments import DEPLOYMENTS, Deployment
from radishtray_testing.bench_report import write_report
from radishtray_testing.bench_run import (
    count_false_refusals,
    max_retries_per_chain,
)
from radishtray_testing.bench_scenarios import SCENARIOS
from radishtray_testing.bench_summary import RunSummary

SECONDS = 20.0
BINS = 200
# The event of a run of 20 s lasts from bin 40 to bin 100.
EVENT_END = 100


def run_measurements(lost_bins: range, weight: float = 1.0) -> dict[str, Any]:
    """Returns measurements with one arrival per bin, lost in `lost_bins`."""
    served = [int(index not in lost_bins) for index in range(BINS)]
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


# Name, bins without good answers, good share before and during the event,
# recovery in seconds.
CASES = [
    ("no_loss", range(0), 1.0, 1.0, 0.0),
    ("loss_in_the_event", range(40, 100), 1.0, 0.0, 0.0),
    ("slow_recovery", range(70, 130), 1.0, 0.5, 2.9),
    ("second_loss_counts", range(150, 160), 1.0, 1.0, 5.9),
    ("never", range(40, 200), 1.0, 0.0, 9.1),
]


@pytest.mark.parametrize("case", CASES, ids=[case[0] for case in CASES])
def test_losses_lower_the_share_and_extend_recovery(
    case: tuple[str, range, float, float, float],
) -> None:
    _, lost_bins, before, during, recovery_s = case
    summary = RunSummary(run_measurements(lost_bins))
    assert (summary.good_share_before, summary.good_share_during) == (
        before,
        during,
    )
    assert summary.recovery_s == pytest.approx(recovery_s)
    assert summary.added_latency_ms == (2.0, 9.0)
    assert summary.cpu_ms_per_call == pytest.approx(1.0)


def test_false_refusals_and_retries_are_counted() -> None:
    runs = {"c-1-0": 1, "c-2-0": 2}
    assert count_false_refusals(["c-1-0", "c-3-0"], runs) == 1
    assert max_retries_per_chain({"r1 /a": 1, "r1 /b": 3, "r2 /a": 2}) == 2


def document(deployment: Deployment) -> Document:
    return parse_document({"d": deployment.document_text()}).ok


@pytest.mark.parametrize(
    ("name", "upstreams", "slots"),
    [("pasaporte", 13, 565), ("fundacion", 17, 2180)],
)
def test_sizes_and_rates_match_the_deployment(
    name: str, upstreams: int, slots: int
) -> None:
    deployment = DEPLOYMENTS[name]
    sizes = deployment.services
    assert deployment.upstream_count == upstreams
    assert sum(s.upstream_count * s.slots_per_upstream for s in sizes) == slots
    parsed_document = document(deployment)
    highest_utilization = max(
        deployment.slot_utilization(parsed_document).values()
    )
    mix = {
        load.name: load.rate for load in deployment.kind_loads(parsed_document)
    }
    assert sum(mix.values()) == pytest.approx(
        sum(rate for rate, _ in deployment.request_mix.values())
        / highest_utilization
    )
    for load in deployment.kind_loads(parsed_document):
        _, service, path = load.path.replace("{}", "1").split("/", 2)
        kind = parsed_document.classify(service, load.method, f"/{path}")
        assert kind is not None
        assert kind.qualified_name == load.name
        assert (
            deployment.chain_service_ms(parsed_document, load.name)
            < load.deadline_s * 1000
        )


def test_report_shows_shares_and_plot(tmp_path: Any) -> None:
    runs = [RunSummary(run_measurements(range(40, 60)))]
    page = write_report(tmp_path, "pasaporte", "surge", "command", runs)
    text = page.read_text(encoding="utf-8")
    assert "| adaptive | 1 | 1.000 | 0.667 | 1.000 |" in text
    assert (tmp_path / "pasaporte-surge.png").stat().st_size > 1_000


def test_load_factor_is_equal_before_and_after_the_event() -> None:
    for scenario in SCENARIOS.values():
        before, during, after = scenario.phases(SECONDS)
        assert before.seconds + during.seconds + after.seconds == SECONDS
        assert before.factor == after.factor <= during.factor
