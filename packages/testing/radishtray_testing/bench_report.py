"""Tables and plots of measured runs."""

import json
from collections.abc import Sequence
from pathlib import Path

import matplotlib.pyplot as plt

from radishtray_testing.bench_deployments import TIME_SCALE
from radishtray_testing.bench_scenarios import SCENARIOS, event_times
from radishtray_testing.bench_summary import RunSummary, weighted

_SMOOTH_BINS = 10
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
    """Writes a Markdown page, the JSON data and a plot.

    Args:
        directory: Where the files go.
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        command: The command that repeats the measurement.
        runs: The runs in order.

    Returns:
        The path of the Markdown page.
    """
    directory.mkdir(parents=True, exist_ok=True)
    name = f"{deployment}-{scenario}"
    page = directory / f"{name}.md"
    text = _page(name, scenario, command, runs)
    page.write_text(text, encoding="utf-8")
    data = json.dumps([run.run for run in runs], separators=(",", ":"))
    (directory / f"{name}.json").write_text(data + "\n", encoding="utf-8")
    _plot(directory / f"{name}.png", name, runs)
    return page


def _page(
    name: str, scenario: str, command: str, runs: Sequence[RunSummary]
) -> str:
    begin, end = event_times(runs[0].run["seconds"])
    lines = [
        f"# {name}",
        "",
        f"Event from {begin} s to {end} s: {SCENARIOS[scenario].text}.",
        f"Times of work and deadlines are scaled by {TIME_SCALE}; slots are "
        "the true ones. All processes share one machine and its loopback, "
        "without the delays between failure domains. The load average is "
        "that at the end of a run; 10 cores are shared with other work, and "
        "runs above 10 include waits for a core.",
        "",
        f"    {command}",
        "",
        "`good` is the share of arrivals answered completely and in time, "
        "weighted by kind; goodput counts weighted answers in the event. "
        "Recovery is the time after the event until the share of one second "
        "of arrivals is back at 0.9 of the share before the event and stays.",
        "",
        _row(_COLUMNS),
        _row(["---"] * len(_COLUMNS)),
        *(_row(_cells(run)) for run in runs),
        "",
        "Share of good requests in the event, by kind:",
        "",
        *_kind_table(runs),
        "",
        f"![Goodput over time]({name}.png)",
        "",
    ]
    return "\n".join(lines)


def _row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _cells(run: RunSummary) -> list[str]:
    measured = run.run
    return [
        run.policy,
        str(run.seed),
        f"{run.before:.3f}",
        f"{run.during:.3f}",
        f"{run.after:.3f}",
        f"{run.goodput:.0f}",
        f"{run.recovery_s:.1f}",
        str(measured["most_retries_run"]),
        str(measured["duplicated_effects"]),
        str(measured["false_refusals"]),
        f"{run.cpu_ms_per_call:.2f}",
        f"{measured['control_cpu_share']:.1%}",
        f"{measured['node_rss_mb']:.0f}",
        f"{measured['load_average']:.0f}",
    ]


def _kind_table(runs: Sequence[RunSummary]) -> list[str]:
    header = ["kind", "weight", *(f"{r.policy} {r.seed}" for r in runs)]
    rows = [_row(header), _row(["---"] * len(header))]
    for kind in runs[0].run["kinds"]:
        name = kind["kind"]["name"]
        shares = [f"{run.kinds[name]:.2f}" for run in runs]
        rows.append(_row([name, f"{kind['kind']['weight']:g}", *shares]))
    return rows


def _plot(path: Path, name: str, runs: Sequence[RunSummary]) -> None:
    figure, axes = plt.subplots(figsize=(8, 4))
    colors = {policy: f"C{i}" for i, policy in enumerate(_policies(runs))}
    for run in runs:
        bin_s = run.run["kinds"][0]["bin_s"]
        values = _smooth(weighted(run.run, "completed"), bin_s)
        times = [(index + 1) * bin_s for index in range(len(values))]
        axes.plot(times, values, color=colors[run.policy], label=run.policy)
    begin, end = event_times(runs[0].run["seconds"])
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


def _policies(runs: Sequence[RunSummary]) -> list[str]:
    return list(dict.fromkeys(run.policy for run in runs))


def _smooth(values: list[float], bin_s: float) -> list[float]:
    return [
        sum(values[max(0, index - _SMOOTH_BINS + 1) : index + 1])
        / (min(index + 1, _SMOOTH_BINS) * bin_s)
        for index in range(len(values))
    ]
