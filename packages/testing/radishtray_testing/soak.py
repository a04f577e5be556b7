"""Soak of real processes under faults that are drawn from a seed.

Start: `python -m radishtray_testing.soak --seed N`. Nodes, upstream stand-ins
and the platform stand-in run as separate processes on the loopback interface.
Callers in this process send requests while processes are paused, killed,
stopped and started, and configurations are published. All promises are checked
from what callers and upstreams saw. The exit code is 1 on a violation; faults
that KNOWN-RED.txt lists are reported under their name and do not change it.
"""

import argparse
import shutil
import sys
import tempfile
import threading
import time
from pathlib import Path

from radishtray_testing._soak_callers import KEYED_KINDS, SoakCaller
from radishtray_testing._soak_checks import Observations, Violation
from radishtray_testing._soak_deployment import SoakDeployment
from radishtray_testing._soak_faults import FaultInjector, draw_plan

RECOVERY_BOUND_S = 240.0
"""Time after the last fault within which each entry node serves all kinds."""
_CALLERS_PER_NODE = 4
_LOAD_AFTER_FAULTS_S = 3.0
_PROBE_INTERVAL_S = 0.5
_PROBES_IN_A_ROW = 3
_PROBED_KINDS = ("read", "write", *KEYED_KINDS)


class Soak:
    """One run with one seed.

    Attributes:
        violations: What was found, once `run` has returned.
        summary: Numbers of sends and runs, and the time of the recovery.
    """

    __slots__ = (
        "_callers",
        "_directory",
        "_injector",
        "_seed",
        "_system",
        "summary",
        "violations",
    )

    def __init__(
        self, seed: int, seconds: float, node_count: int, directory: Path
    ) -> None:
        """Prepares a run; `run` starts the processes.

        Args:
            seed: Seed of faults and load.
            seconds: Time in which series of faults begin.
            node_count: Number of nodes.
            directory: Directory for logs, run logs and configurations.
        """
        self._seed = seed
        self._directory = directory
        self._system = SoakDeployment(directory, node_count)
        self._injector = FaultInjector(
            self._system, draw_plan(seed, seconds, self._system.node_ids)
        )
        self._callers: list[SoakCaller] = []
        self.violations: list[Violation] = []
        self.summary = ""

    def run(self) -> None:
        """Runs load and faults, waits for the recovery, checks and ends."""
        try:
            self._system.start()
            self._run_load()
            recovery_s = self._wait_for_recovery()
            sends = [s for caller in self._callers for s in caller.sends]
            runs = self._system.read_runs()
        finally:
            self._system.close()
        self.violations += [
            Violation("each process starts and ends as asked", error)
            for error in self._injector.errors
        ]
        self.violations += Observations(
            sends, runs, self._injector.plan
        ).find_violations()
        served = sum(send.status == 200 for send in sends)
        self.summary = (
            f"seed {self._seed}: {len(self._injector.plan)} faults,"
            f" {len(sends)} sends, {served} served, {len(runs)} runs,"
            f" recovery {recovery_s:.1f} s"
        )

    def _add_caller(self, name: str, home: int) -> SoakCaller:
        caller = SoakCaller(
            name, self._system.entries, home, f"{self._seed} {name}"
        )
        self._callers.append(caller)
        return caller

    def _run_load(self) -> None:
        stopped = threading.Event()
        threads = []
        for home in range(len(self._system.entries)):
            for number in range(_CALLERS_PER_NODE):
                caller = self._add_caller(f"c{home}-{number}", home)
                threads.append(
                    threading.Thread(target=caller.run_until, args=(stopped,))
                )
        try:
            for thread in threads:
                thread.start()
            self._injector.start()
            self._injector.wait()
            time.sleep(_LOAD_AFTER_FAULTS_S)
        finally:
            stopped.set()
            for thread in threads:
                thread.join()

    def _wait_for_recovery(self) -> float:
        """Probes until each entry node serves all kinds several times in a row.

        Returns:
            Seconds that this took.
        """
        start_s = time.monotonic()
        newest_kind = self._system.newest_kind
        for home, (node_id, _) in enumerate(self._system.entries):
            prober = self._add_caller(f"p{home}", home)
            for kind in (*_PROBED_KINDS, newest_kind):
                served = 0
                while served < _PROBES_IN_A_ROW:
                    send = prober.send_request(kind)
                    served = served + 1 if send.status == 200 else 0
                    if time.monotonic() - start_s > RECOVERY_BOUND_S:
                        self.violations.append(
                            Violation(
                                "the deployment serves again within"
                                f" {RECOVERY_BOUND_S:.0f} s",
                                f"{kind} at {node_id}; last {send}",
                            )
                        )
                        break
                    if not served:
                        time.sleep(_PROBE_INTERVAL_S)
            prober.close()
        return time.monotonic() - start_s

    def report(self) -> str:
        """Returns all faults with their times and all violations."""
        lines = [self.summary]
        lines += [f"  {fault}" for fault in self._injector.plan]
        lines += [f"  {violation}" for violation in self.violations]
        return "\n".join(lines)


def run_seed(
    seed: int, seconds: float, node_count: int, directory: Path
) -> Soak:
    """Runs one seed and prints its report.

    Args:
        seed: Seed of faults and load.
        seconds: Time in which series of faults begin.
        node_count: Number of nodes.
        directory: Directory in which a folder of the seed keeps the logs if
            there is a violation.
    """
    folder = directory / f"seed-{seed}"
    if folder.exists():
        shutil.rmtree(folder)
    soak = Soak(seed, seconds, node_count, folder)
    soak.run()
    print(soak.report(), flush=True)
    if soak.violations:
        (folder / "report.txt").write_text(soak.report() + "\n")
        print(f"  logs: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return soak


def main(argv: list[str] | None = None) -> int:
    """Runs the seeds one after another.

    Args:
        argv: Command line arguments; those of the process by default.

    Returns:
        1 if there was a violation that is not known red, else 0.
    """
    parser = argparse.ArgumentParser(prog="soak")
    add = parser.add_argument
    add("--seed", type=int, required=True, help="seed, or the first of several")
    add("--seeds", type=int, default=1, help="number of seeds")
    add("--seconds", type=float, default=20.0, help="time of the faults")
    add("--nodes", type=int, default=6, help="number of nodes, at least 3")
    add("--logs", type=Path, help="directory of the logs of failing seeds")
    options = parser.parse_args(argv)
    directory = options.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    violations: list[Violation] = []
    for seed in range(options.seed, options.seed + options.seeds):
        soak = run_seed(seed, options.seconds, options.nodes, directory)
        violations += soak.violations
    known_red = [v for v in violations if v.known_red]
    print(
        f"{options.seeds} seeds, {len(violations) - len(known_red)} violations,"
        f" {len(known_red)} known red"
    )
    return 1 if len(violations) > len(known_red) else 0


if __name__ == "__main__":
    sys.exit(main())
