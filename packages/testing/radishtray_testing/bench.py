"""Measures a policy against a baseline with real processes.

`python -m radishtray_testing.bench --deployment pasaporte --scenario surge`
runs the policy and the baseline in turn and writes a report.
"""

import argparse
import os
import sys
import tempfile
from pathlib import Path

from radishtray_state import ADMISSION_POLICIES
from radishtray_testing.bench_deployments import DEPLOYMENTS
from radishtray_testing.bench_report import write_report
from radishtray_testing.bench_run import RunOptions, run
from radishtray_testing.bench_scenarios import SCENARIOS
from radishtray_testing.bench_summary import RunSummary

_DEFAULT_OUT = Path("docs/measurements")


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    add = parser.add_argument
    add("--deployment", choices=sorted(DEPLOYMENTS), default="pasaporte")
    add("--scenario", choices=sorted(SCENARIOS), default="surge")
    add("--policy", choices=sorted(ADMISSION_POLICIES), default="adaptive")
    add("--baseline", choices=sorted(ADMISSION_POLICIES), default="none")
    add("--rounds", type=int, default=3, help="pairs of runs")
    add("--seed", type=int, default=1, help="seed of the first round")
    add("--seconds", type=float, default=40.0, help="length of one load")
    add("--commit", default="unknown", help="commit that is measured")
    add("--out", type=Path, default=_DEFAULT_OUT, help="directory of reports")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs the measurement; each round has its own seed."""
    options = build_parser().parse_args(argv)
    summaries = []
    for round_number in range(options.rounds):
        for policy in (options.policy, options.baseline):
            summary = _measure(options, policy, options.seed + round_number)
            summaries.append(summary)
            print(_line(summary), flush=True)
    command = (
        f"python -m radishtray_testing.bench --deployment {options.deployment}"
        f" --scenario {options.scenario} --policy {options.policy}"
        f" --baseline {options.baseline} --rounds {options.rounds}"
        f" --seed {options.seed} --seconds {options.seconds:g}"
        f" --commit {options.commit}"
    )
    page = write_report(
        options.out, options.deployment, options.scenario, command, summaries
    )
    print(page)
    return 0


def _measure(options: argparse.Namespace, policy: str, seed: int) -> RunSummary:
    with tempfile.TemporaryDirectory() as directory:
        measured = run(
            RunOptions(
                DEPLOYMENTS[options.deployment],
                SCENARIOS[options.scenario],
                policy,
                seed,
                options.seconds,
                Path(directory),
            )
        )
    measured["load_average"] = os.getloadavg()[0]
    return RunSummary(measured)


def _line(summary: RunSummary) -> str:
    run_ = summary.run
    return (
        f"{summary.policy} seed {summary.seed}: good"
        f" {summary.before:.3f}/{summary.during:.3f}/{summary.after:.3f},"
        f" goodput {summary.goodput:.0f}/s,"
        f" recovery {summary.recovery_s:.1f} s,"
        f" retries {run_['most_retries_run']},"
        f" duplicates {run_['duplicated_effects']},"
        f" false refusals {run_['false_refusals']},"
        f" added p50 {summary.added_ms[0]:.1f} p99 {summary.added_ms[1]:.1f}"
        f" ms, CPU {summary.cpu_ms_per_call:.2f} ms/call,"
        f" control {run_['control_cpu_share']:.1%},"
        f" RSS {run_['node_rss_mb']:.0f} MB,"
        f" load {run_['load_average']:.1f}"
    )


if __name__ == "__main__":
    sys.exit(main())
