"""Faults of a soak: their plan, drawn from a seed, and their injection."""

import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from radishtray_testing._soak_deployment import PLATFORM, SoakDeployment
from radishtray_testing._soak_proxy import LINK_MODES

_FIRST_SERIES_S = 2.0
_SERIES_GAP_S = (1.0, 6.0)
_MAX_OFFSET_S = 2.0
_MAX_FAULTS_IN_SERIES = 4
_SHORTEST_FAULT_S = 0.1
_PLATFORM_FAULTS: dict[str, dict[str, Any]] = {
    "platform_outage": {"outage": True},
    "platform_refusal": {"refuse": True},
    "platform_delay": {"delay_ms": 800, "lose_next_answers": 3},
}


@dataclass(slots=True)
class Fault:
    """One fault, as planned (s after the start) and as injected (wall time)."""

    kind: str
    target: str
    start_s: float
    duration_s: float
    began_at_s: float = 0.0
    ended_at_s: float = 0.0
    note: str = ""

    def __str__(self) -> str:
        """Returns one line for reports."""
        return (
            f"{self.start_s:6.2f} s {self.kind} {self.target}"
            f" for {self.duration_s:.2f} s; wall time"
            f" {self.began_at_s:.3f}-{self.ended_at_s:.3f} {self.note}"
        )

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        """Returns whether it was in effect within a span of wall time."""
        has_ended_before = 0 < self.ended_at_s < begin_s
        return 0 < self.began_at_s <= end_s and not has_ended_before

    def wait(self) -> None:
        """Waits for its duration."""
        time.sleep(self.duration_s)


def _pause(part: str, system: SoakDeployment, fault: Fault) -> None:
    process = system.process(part, fault.target)
    process.send_signal(signal.SIGSTOP)
    fault.wait()
    process.send_signal(signal.SIGCONT)


def _end(
    part: str, number: signal.Signals, system: SoakDeployment, fault: Fault
) -> None:
    code = system.restart_process(part, fault.target, number, fault.wait)
    fault.note = f"exit code {code}"


def _disturb_platform(system: SoakDeployment, fault: Fault) -> None:
    system.local.set_platform_faults(**_PLATFORM_FAULTS[fault.kind])
    fault.wait()
    system.local.set_platform_faults()


def _disturb_link(system: SoakDeployment, fault: Fault) -> None:
    proxy = system.proxies[fault.target]
    proxy.mode = fault.kind.removeprefix("link_")
    fault.wait()
    proxy.mode = ""


def _publish(system: SoakDeployment, fault: Fault) -> None:
    accepted = system.publish_configuration()
    fault.note = "accepted" if accepted else "not accepted"


_Injector = Callable[[SoakDeployment, Fault], None]
# Injector, weight and longest duration in seconds of each kind of fault.
_FAULTS: dict[str, tuple[_Injector, int, float]] = {
    "pause_node": (partial(_pause, "node"), 4, 9.0),
    "pause_upstream": (partial(_pause, "upstream"), 2, 6.0),
    "kill_node": (partial(_end, "node", signal.SIGKILL), 4, 5.0),
    "kill_upstream": (partial(_end, "upstream", signal.SIGKILL), 2, 5.0),
    "stop_node": (partial(_end, "node", signal.SIGTERM), 4, 2.0),
    "stop_upstream": (partial(_end, "upstream", signal.SIGTERM), 1, 2.0),
    "platform_pause": (partial(_pause, PLATFORM), 1, 8.0),
    "platform_publish": (_publish, 3, _SHORTEST_FAULT_S),
    **dict.fromkeys(_PLATFORM_FAULTS, (_disturb_platform, 1, 8.0)),
    **{f"link_{mode}": (_disturb_link, 1, 5.0) for mode in LINK_MODES},
}


def draw_plan(
    seed: int, seconds: float, node_ids: list[str], proxied: list[str]
) -> list[Fault]:
    """Returns series of overlapping faults that begin within `seconds`.

    Even seeds pause no node, so that the listed fault of paused owners cannot
    explain what they find. `proxied` are nodes with a proxy.
    """
    rng = random.Random(seed)
    weights = [weight for _, weight, _ in _FAULTS.values()]
    if seed % 2 == 0:
        weights[list(_FAULTS).index("pause_node")] = 0
    plan: list[Fault] = []
    series_s = _FIRST_SERIES_S
    while series_s < seconds:
        names = rng.choices(
            list(_FAULTS), weights, k=rng.randint(1, _MAX_FAULTS_IN_SERIES)
        )
        # One series in ten ends most nodes or upstreams at once.
        targets = rng.sample(node_ids, len(node_ids) * 6 // 10)
        if rng.random() < 0.1:
            names = rng.choices(["kill_node", "kill_upstream"], k=len(targets))
        for name in names:
            target = targets.pop() if targets else rng.choice(node_ids)
            if name.startswith("link"):
                target = rng.choice(proxied)
            if name.startswith(PLATFORM):
                target = PLATFORM
            start_s = series_s + rng.uniform(0.0, _MAX_OFFSET_S)
            duration_s = rng.uniform(_SHORTEST_FAULT_S, _FAULTS[name][2])
            plan.append(Fault(name, target, start_s, duration_s))
        series_s += rng.uniform(*_SERIES_GAP_S)
    return sorted(plan, key=lambda fault: fault.start_s)


def inject(system: SoakDeployment, plan: list[Fault]) -> list[str]:
    """Injects a plan, each fault on a thread, until all faults have ended.

    Returns:
        Errors of injections, for example of a node that did not start.
    """
    load_started_s = time.monotonic()
    errors: list[str] = []

    def run(fault: Fault) -> None:
        begin_s = load_started_s + fault.start_s
        time.sleep(max(0.0, begin_s - time.monotonic()))
        fault.began_at_s = time.time()
        try:
            _FAULTS[fault.kind][0](system, fault)
        except Exception as error:
            errors.append(f"{fault}: {error!r}")
        fault.ended_at_s = time.time()

    threads = [threading.Thread(target=run, args=(fault,)) for fault in plan]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return errors
