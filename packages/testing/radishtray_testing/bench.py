"""Compares an admission policy with a baseline, using real processes.

`python -m radishtray_testing.bench --deployment pasaporte --scenario surge`
runs the scenario with the policy and with the baseline, once each per round,
and writes a report.
"""

import argparse
import os
import sys
import tempfile
from pathlib import Path

from radishtray_state import ADMISSION_POLICIES
from radishtray_testing.bench_deployments import DEPLOYMENTS
from radishtray_testing.bench_report import write_report
from radishtray_testing.bench_run import RunOptions, run_scenario
from radishtray_testing.bench_scenarios import SCENARIOS
from radishtray_testing.bench_summary import RunSummary

_DEFAULT_REPORT_DIRECTORY = Path("docs/measurements")


def build_parser() -> argparse.ArgumentParser:
    """Builds the command line parser."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    add = parser.add_argument
    add("--deployment", choices=sorted(DEPLOYMENTS), default="pasaporte")
    add("--scenario", choices=sorted(SCENARIOS), default="surge")
    add("--policy", choices=sorted(ADMISSION_POLICIES), default="adaptive")
    add("--baseline", choices=sorted(ADMISSION_POLICIES), default="none")
    add(
        "--rounds",
        type=int,
        default=3,
        help="number of rounds; each runs the policy and the baseline",
    )
    add("--seed", type=int, default=1, help="seed of the first round")
    add(
        "--seconds",
        type=float,
        default=40.0,
        help="duration of the load in each run",
    )
    add("--commit", default="unknown", help="commit to name in the report")
    add(
        "--out",
        type=Path,
        default=_DEFAULT_REPORT_DIRECTORY,
        help="directory for the report",
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs all rounds and writes the report.

    Each round has its own seed, used for both the policy and the baseline.
    """
    options = build_parser().parse_args(argv)
    summaries = []
    for round_number in range(options.rounds):
        for policy in (options.policy, options.baseline):
            summary = _measure_run(options, policy, options.seed + round_number)
            summaries.append(summary)
            print(_summary_line(summary), flush=True)
    command = (
        f"python -m radishtray_testing.bench --deployment {options.deployment}"
        f" --scenario {options.scenario} --policy {options.policy}"
        f" --baseline {options.baseline} --rounds {options.rounds}"
        f" --seed {options.seed} --seconds {options.seconds:g}"
        f" --commit {options.commit}"
    )
    page_path = write_report(
        options.out, options.deployment, options.scenario, command, summaries
    )
    print(page_path)
    return 0


def _measure_run(
    options: argparse.Namespace, policy: str, seed: int
) -> RunSummary:
    with tempfile.TemporaryDirectory() as directory:
        measurements = run_scenario(
            RunOptions(
                DEPLOYMENTS[options.deployment],
                SCENARIOS[options.scenario],
                policy,
                seed,
                options.seconds,
                Path(directory),
            )
        )
    measurements["load_average"] = os.getloadavg()[0]
    return RunSummary(measurements)


def _summary_line(summary: RunSummary) -> str:
    measurements = summary.measurements
    return (
        f"{summary.policy} seed {summary.seed}: good share"
        f" {summary.good_share_before:.3f}/{summary.good_share_during:.3f}"
        f"/{summary.good_share_after:.3f},"
        f" goodput {summary.goodput_per_s:.0f}/s,"
        f" recovery {summary.recovery_s:.1f} s,"
        f" most retries {measurements['most_retries_run']},"
        f" duplicates {measurements['duplicated_effects']},"
        f" false refusals {measurements['false_refusals']},"
        f" added latency p50 {summary.added_latency_ms[0]:.1f}"
        f" p99 {summary.added_latency_ms[1]:.1f}"
        f" ms, CPU {summary.cpu_ms_per_call:.2f} ms/call,"
        f" control CPU {measurements['control_cpu_share']:.1%},"
        f" RSS {measurements['node_rss_mb']:.0f} MB,"
        f" load average {measurements['load_average']:.1f}"
    )


if __name__ == "__main__":
    sys.exit(main())
