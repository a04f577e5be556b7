"""Writes the report of a bench: Markdown tables, JSON data and a plot."""

import json
from collections.abc import Sequence
from pathlib import Path

import matplotlib.pyplot as plt

from radishtray_testing.bench_deployments import TIME_SCALE
from radishtray_testing.bench_scenarios import SCENARIOS, event_times
from radishtray_testing.bench_summary import RunSummary, weighted_series

_SMOOTHING_BINS = 10
_COLUMNS = (
    "policy",
    "seed",
    "good before",
    "good during",
    "good after",
    "goodput/s",
    "recovery s",
    "most retries run",
    "duplicates",
    "false refusals",
    "CPU ms/call",
    "control CPU",
    "RSS MB",
    "load average",
)


def write_report(
    directory: Path,
    deployment: str,
    scenario: str,
    command: str,
    runs: Sequence[RunSummary],
) -> Path:
    """Writes the Markdown page, the JSON data and the plot of a bench.

    Args:
        directory: Directory of the files; it is created if missing.
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        command: Command line that reproduces the measurement.
        runs: The runs, in the order of the table rows.

    Returns:
        The path of the Markdown page.
    """
    directory.mkdir(parents=True, exist_ok=True)
    name = f"{deployment}-{scenario}"
    page_path = directory / f"{name}.md"
    text = _format_page(name, scenario, command, runs)
    page_path.write_text(text, encoding="utf-8")
    data = json.dumps([run.measurements for run in runs], separators=(",", ":"))
    (directory / f"{name}.json").write_text(data + "\n", encoding="utf-8")
    _plot(directory / f"{name}.png", name, runs)
    return page_path


def _format_page(
    name: str, scenario: str, command: str, runs: Sequence[RunSummary]
) -> str:
    begin, end = event_times(runs[0].measurements["seconds"])
    lines = [
        f"# {name}",
        "",
        f"Event from {begin} s to {end} s: {SCENARIOS[scenario].description}.",
        f"Service times and deadlines are multiplied by {TIME_SCALE}; the "
        "numbers of slots are those of the deployment. All processes share "
        "one machine and communicate over loopback, without the network "
        "delays between failure domains. The load average is taken at the "
        "end of each run. The machine's 10 cores are shared with other work; "
        "runs with a load average above 10 include time spent waiting for a "
        "core.",
        "",
        f"    {command}",
        "",
        "`good` is the share of arriving requests that are answered completely "
        "and before their deadline, weighted by kind. Goodput is the weighted "
        "rate of such answers during the event. Recovery is the time from "
        "the end of the event until the good share of one second of arrivals "
        "is, and stays, at least 0.9 of the share before the event.",
        "",
        _format_row(_COLUMNS),
        _format_row(["---"] * len(_COLUMNS)),
        *(_format_row(_run_cells(run)) for run in runs),
        "",
        "Share of good requests among arrivals during the event, by kind:",
        "",
        *_kind_table_rows(runs),
        "",
        f"![Goodput over time]({name}.png)",
        "",
    ]
    return "\n".join(lines)


def _format_row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _run_cells(run: RunSummary) -> list[str]:
    measurements = run.measurements
    return [
        run.policy,
        str(run.seed),
        f"{run.good_share_before:.3f}",
        f"{run.good_share_during:.3f}",
        f"{run.good_share_after:.3f}",
        f"{run.goodput_per_s:.0f}",
        f"{run.recovery_s:.1f}",
        str(measurements["most_retries_run"]),
        str(measurements["duplicated_effects"]),
        str(measurements["false_refusals"]),
        f"{run.cpu_ms_per_call:.2f}",
        f"{measurements['control_cpu_share']:.1%}",
        f"{measurements['node_rss_mb']:.0f}",
        f"{measurements['load_average']:.0f}",
    ]


def _kind_table_rows(runs: Sequence[RunSummary]) -> list[str]:
    header = ["kind", "weight", *(f"{r.policy} {r.seed}" for r in runs)]
    rows = [_format_row(header), _format_row(["---"] * len(header))]
    for kind in runs[0].measurements["kinds"]:
        name = kind["kind"]["name"]
        shares = [f"{run.good_share_by_kind[name]:.2f}" for run in runs]
        rows.append(_format_row([name, f"{kind['kind']['weight']:g}", *shares]))
    return rows


def _plot(path: Path, name: str, runs: Sequence[RunSummary]) -> None:
    figure, axes = plt.subplots(figsize=(8, 4))
    colors = {
        policy: f"C{i}" for i, policy in enumerate(_distinct_policies(runs))
    }
    for run in runs:
        bin_s = run.measurements["kinds"][0]["bin_s"]
        values = _moving_average_per_s(
            weighted_series(run.measurements, "completed"), bin_s
        )
        times = [(index + 1) * bin_s for index in range(len(values))]
        axes.plot(times, values, color=colors[run.policy], label=run.policy)
    begin, end = event_times(runs[0].measurements["seconds"])
    axes.axvspan(begin, end, color="0.9")
    axes.set_xlabel("time (s)")
    axes.set_ylabel("weighted goodput (1/s)")
    axes.set_title(name)
    handles, labels = axes.get_legend_handles_labels()
    unique = dict(zip(labels, handles, strict=True))
    axes.legend(unique.values(), unique.keys())
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    plt.close(figure)


def _distinct_policies(runs: Sequence[RunSummary]) -> list[str]:
    return list(dict.fromkeys(run.policy for run in runs))


def _moving_average_per_s(counts: list[float], bin_s: float) -> list[float]:
    """Returns the rate at each bin as an average over the last bins."""
    return [
        sum(counts[max(0, index - _SMOOTHING_BINS + 1) : index + 1])
        / (min(index + 1, _SMOOTHING_BINS) * bin_s)
        for index in range(len(counts))
    ]
