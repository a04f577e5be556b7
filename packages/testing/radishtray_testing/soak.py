"""Soak of real processes under faults that are drawn from a seed.

Start: `python -m radishtray_testing.soak --seed N`. Nodes, upstream stand-ins
and the platform stand-in run as processes on the loopback interface. Callers in
this process send requests while processes are paused, killed, stopped and
started, connections are disturbed and configurations are published. Promises
are checked from what callers and upstreams saw. The exit code is 1 on a
violation; what KNOWN-RED.txt lists is reported under its name only.
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
from radishtray_testing._soak_faults import Fault, draw_plan, inject

# Time after the last fault within which each entry node serves all kinds.
_RECOVERY_BOUND_S = 240.0
_MIN_CALLERS = 24
_LOAD_AFTER_FAULTS_S = 3.0
_PROBE_INTERVAL_S = 0.5
_PROBES_IN_A_ROW = 3


class Soak:
    """One run with one seed.

    Attributes:
        violations: What was found, once `run` has returned.
    """

    def __init__(
        self, system: SoakDeployment, seed: int, plan: list[Fault]
    ) -> None:
        """Prepares the load and the faults of a plan; `run` begins."""
        self._system = system
        self._seed = seed
        self._plan = plan
        self._callers: list[SoakCaller] = []
        self.violations: list[Violation] = []

    def run(self, probed_kinds: tuple[str, ...]) -> str:
        """Runs load and faults, waits for the recovery and checks.

        Args:
            probed_kinds: Kinds that each entry node has to serve at the end.

        Returns:
            A report with all faults and violations.
        """
        self._system.start()
        self._run_load()
        recovery_s = self._wait_for_recovery(
            (*probed_kinds, self._system.newest_kind)
        )
        runs = self._system.read_runs()
        sends = [send for caller in self._callers for send in caller.sends]
        observations = Observations(sends, runs, self._plan)
        self.violations += observations.find_violations()
        served = sum(send.status == 200 for send in sends)
        summary = (
            f"seed {self._seed}: {len(self._plan)} faults, {len(sends)} sends,"
            f" {served} served, {len(runs)} runs, recovery {recovery_s:.1f} s"
        )
        details = [str(item) for item in (*self._plan, *self.violations)]
        return "\n  ".join([summary, *details])

    def _add_caller(self, name: str, home: str) -> SoakCaller:
        name = f"{self._seed}-{home}-{name}"
        caller = SoakCaller(name, self._system.entries, home)
        self._callers.append(caller)
        return caller

    def _run_load(self) -> None:
        stopped = threading.Event()
        threads = [
            threading.Thread(
                target=self._add_caller(f"{number}", home).run_until,
                args=(stopped,),
            )
            for home in self._system.entries
            for number in range(
                max(1, _MIN_CALLERS // len(self._system.entries))
            )
        ]
        for thread in threads:
            thread.start()
        try:
            errors = inject(self._system, self._plan)
            time.sleep(_LOAD_AFTER_FAULTS_S)
        finally:
            stopped.set()
            for thread in threads:
                thread.join()
        rule = "each process starts and ends as asked"
        self.violations += [Violation(rule, error) for error in errors]

    def _wait_for_recovery(self, kinds: tuple[str, ...]) -> float:
        """Probes until each entry node serves all kinds several times in a row.

        Returns:
            Seconds that this took.
        """
        start_s = time.monotonic()
        for home in self._system.entries:
            prober = self._add_caller("probe", home)
            for kind in kinds:
                served = 0
                while served < _PROBES_IN_A_ROW:
                    send = prober.send_request(kind)
                    served = served + 1 if send.status == 200 else 0
                    if time.monotonic() - start_s > _RECOVERY_BOUND_S:
                        rule = f"serves again within {_RECOVERY_BOUND_S:.0f} s"
                        self.violations.append(Violation(rule, str(send)))
                        break
                    time.sleep(0.0 if served else _PROBE_INTERVAL_S)
            prober.close()
        return time.monotonic() - start_s


def run_seed(seed: int, options: argparse.Namespace) -> list[Violation]:
    """Runs one seed with the options of `build_parser`; prints its report.

    A folder of the seed keeps the logs if there is a violation.
    """
    folder = options.logs / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    system = SoakDeployment(folder, options.nodes, options.late_answer_s)
    try:
        plan = draw_plan(
            seed, options.seconds, [*system.entries], [*system.proxies]
        )
        soak = Soak(system, seed, plan)
        keyed_kinds = () if options.quick else KEYED_KINDS
        report = soak.run(("read", "write", *keyed_kinds))
    finally:
        system.close()
    print(report, flush=True)
    if soak.violations:
        (folder / "report.txt").write_text(f"{report}\n", encoding="utf-8")
        print(f"  logs: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return soak.violations


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(prog="soak")
    add = parser.add_argument
    add("--seed", type=int, required=True, help="seed, or the first of several")
    add("--seeds", type=int, default=1, help="number of seeds")
    add("--seconds", type=float, default=20.0, help="time of the faults")
    add("--nodes", type=int, default=6, help="number of nodes, at least 3")
    add("--quick", action="store_true", help="await no purchases at the end")
    add("--late-answer-s", type=float, default=0.0, help="see upstream_standin")
    add("--logs", type=Path, help="directory of the logs of failing seeds")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs seeds; returns 1 on a violation that is not known red, else 0."""
    options = build_parser().parse_args(argv)
    options.logs = options.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    violations: list[Violation] = []
    for seed in range(options.seed, options.seed + options.seeds):
        violations += run_seed(seed, options)
    failed = sum(not violation.known_red for violation in violations)
    print(
        f"{options.seeds} seeds, {failed} violations,"
        f" {len(violations) - failed} known red"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
