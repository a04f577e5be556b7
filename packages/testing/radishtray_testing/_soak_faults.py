"""Faults of a soak: their plan, drawn from a seed, and their injection."""

import random
import signal
import threading
import time
from collections.abc import Callable

from radishtray_testing._soak_deployment import SoakDeployment
from radishtray_testing.processes import ManagedProcess

PLATFORM = "platform"
_STOP_TIMEOUT_S = 120.0
_FIRST_SERIES_S = 2.0
_SERIES_GAP_S = (1.0, 6.0)
_MAX_OFFSET_S = 2.0
_MAX_FAULTS_IN_SERIES = 4
_MASS_KILL_SHARE = 0.1
"""Share of the series that kill most nodes at once."""


class Fault:
    """One fault, as planned and as injected.

    Attributes:
        kind: Name of the function that injects it.
        target: Id of the node, or `PLATFORM`.
        start_s: Planned beginning in seconds after the start of the load.
        duration_s: Time between its injection and its removal.
        began_at_s: Wall time of the injection; 0 before it.
        ended_at_s: Wall time at which the target ran again; 0 before that.
        note: What was observed, for example an exit code.
    """

    __slots__ = (
        "began_at_s",
        "duration_s",
        "ended_at_s",
        "kind",
        "note",
        "start_s",
        "target",
    )

    def __init__(
        self, kind: str, target: str, start_s: float, duration_s: float
    ) -> None:
        """Creates a planned fault.

        Raises:
            ValueError: If the kind is not known.
        """
        if kind not in _INJECTORS:
            raise ValueError(f"no fault is called {kind}")
        self.kind = kind
        self.target = target
        self.start_s = start_s
        self.duration_s = duration_s
        self.began_at_s = 0.0
        self.ended_at_s = 0.0
        self.note = ""

    def __str__(self) -> str:
        """Returns one line for reports."""
        return (
            f"{self.start_s:6.2f} s {self.kind} {self.target}"
            f" for {self.duration_s:.2f} s; wall time"
            f" {self.began_at_s:.3f}-{self.ended_at_s:.3f} {self.note}".rstrip()
        )

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        """Returns whether it was in effect within a span of wall time."""
        if not self.began_at_s:
            return False
        return self.began_at_s <= end_s and (
            not self.ended_at_s or self.ended_at_s >= begin_s
        )


_Injector = Callable[[SoakDeployment, Fault], None]
_INJECTORS: dict[str, _Injector] = {}
_WEIGHTS: dict[str, int] = {}
_DURATIONS_S: dict[str, tuple[float, float]] = {}


def _fault(
    weight: int, shortest_s: float, longest_s: float
) -> Callable[[_Injector], _Injector]:
    """Registers an injector under its function's name.

    Args:
        weight: How often it is drawn, relative to the others.
        shortest_s: Shortest duration.
        longest_s: Longest duration.
    """

    def register(injector: _Injector) -> _Injector:
        name = injector.__name__
        _INJECTORS[name] = injector
        _WEIGHTS[name] = weight
        _DURATIONS_S[name] = (shortest_s, longest_s)
        return injector

    return register


def _pause(process: ManagedProcess, duration_s: float) -> None:
    process.send_signal(signal.SIGSTOP)
    try:
        time.sleep(duration_s)
    finally:
        process.send_signal(signal.SIGCONT)


@_fault(4, 0.2, 9.0)
def pause_node(system: SoakDeployment, fault: Fault) -> None:
    """Stops a node for a while."""
    _pause(system.node(fault.target), fault.duration_s)


@_fault(2, 0.2, 6.0)
def pause_upstream(system: SoakDeployment, fault: Fault) -> None:
    """Stops an upstream for a while."""
    _pause(system.upstream(fault.target), fault.duration_s)


@_fault(1, 0.5, 8.0)
def pause_platform(system: SoakDeployment, fault: Fault) -> None:
    """Stops the platform stand-in for a while."""
    _pause(system.platform, fault.duration_s)


@_fault(4, 0.1, 5.0)
def kill_node(system: SoakDeployment, fault: Fault) -> None:
    """Kills a node and starts it again."""
    with system.lock(fault.target):
        system.node(fault.target).send_signal(signal.SIGKILL)
        time.sleep(fault.duration_s)
        system.start_node(fault.target)


@_fault(2, 0.1, 5.0)
def kill_upstream(system: SoakDeployment, fault: Fault) -> None:
    """Kills an upstream and starts it again."""
    with system.lock(fault.target):
        system.upstream(fault.target).send_signal(signal.SIGKILL)
        time.sleep(fault.duration_s)
        system.start_upstream(fault.target)


@_fault(3, 0.1, 2.0)
def stop_node(system: SoakDeployment, fault: Fault) -> None:
    """Stops a node as planned and starts it again."""
    with system.lock(fault.target):
        node = system.node(fault.target)
        node.send_signal(signal.SIGTERM)
        fault.note = f"exit code {node.wait_for_exit(_STOP_TIMEOUT_S)}"
        time.sleep(fault.duration_s)
        system.start_node(fault.target)


@_fault(1, 0.1, 2.0)
def stop_upstream(system: SoakDeployment, fault: Fault) -> None:
    """Stops an upstream as planned and starts it again."""
    with system.lock(fault.target):
        upstream = system.upstream(fault.target)
        upstream.send_signal(signal.SIGTERM)
        fault.note = f"exit code {upstream.wait_for_exit(_STOP_TIMEOUT_S)}"
        time.sleep(fault.duration_s)
        system.start_upstream(fault.target)


@_fault(2, 0.0, 0.0)
def publish_configuration(system: SoakDeployment, fault: Fault) -> None:
    """Publishes a configuration with one more kind."""
    accepted = system.publish_configuration()
    fault.note = "accepted" if accepted else "not accepted"


@_fault(1, 1.0, 10.0)
def platform_outage(system: SoakDeployment, fault: Fault) -> None:
    """Lets the platform abort all connections for a while."""
    system.set_platform_faults(outage=True)
    time.sleep(fault.duration_s)
    system.set_platform_faults()


@_fault(1, 1.0, 6.0)
def platform_refuses(system: SoakDeployment, fault: Fault) -> None:
    """Lets the platform answer 503 for a while."""
    system.set_platform_faults(refuse=True)
    time.sleep(fault.duration_s)
    system.set_platform_faults()


@_fault(1, 1.0, 6.0)
def platform_delays(system: SoakDeployment, fault: Fault) -> None:
    """Lets the platform delay calls and lose some answers for a while."""
    system.set_platform_faults(delay_ms=800, lose_next_answers=3)
    time.sleep(fault.duration_s)
    system.set_platform_faults()


def _is_for_platform(kind: str) -> bool:
    return PLATFORM in kind or kind == publish_configuration.__name__


def draw_plan(seed: int, seconds: float, node_ids: list[str]) -> list[Fault]:
    """Returns series of overlapping faults, in the order of their beginnings.

    Args:
        seed: Seed of the plan; equal seeds give equal plans.
        seconds: Time in which series may begin.
        node_ids: Ids of the nodes.
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    series_s = _FIRST_SERIES_S
    while series_s < seconds:
        if rng.random() < _MASS_KILL_SHARE:
            for target in rng.sample(node_ids, len(node_ids) * 6 // 10):
                kind = rng.choice(["kill_node", "kill_upstream"])
                plan.append(Fault(kind, target, series_s, rng.uniform(0.1, 3)))
        for _ in range(rng.randint(1, _MAX_FAULTS_IN_SERIES)):
            kind = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
            target = PLATFORM if _is_for_platform(kind) else ""
            plan.append(
                Fault(
                    kind,
                    target or rng.choice(node_ids),
                    series_s + rng.uniform(0.0, _MAX_OFFSET_S),
                    rng.uniform(*_DURATIONS_S[kind]),
                )
            )
        series_s += rng.uniform(*_SERIES_GAP_S)
    return sorted(plan, key=lambda fault: fault.start_s)


class FaultInjector:
    """Injects a plan, each fault on a thread of its own.

    Attributes:
        plan: The faults, which record when they were injected.
        errors: Errors of injections, for example of a node that did not start.
    """

    __slots__ = ("_system", "_threads", "errors", "plan")

    def __init__(self, system: SoakDeployment, plan: list[Fault]) -> None:
        """Creates an injector; `start` begins the plan.

        Args:
            system: Target of the faults.
            plan: The faults.
        """
        self._system = system
        self.plan = plan
        self.errors: list[str] = []
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Starts the plan."""
        start_s = time.monotonic()
        for fault in self.plan:
            thread = threading.Thread(
                target=self._inject, args=(fault, start_s), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def _inject(self, fault: Fault, start_s: float) -> None:
        time.sleep(max(0.0, start_s + fault.start_s - time.monotonic()))
        fault.began_at_s = time.time()
        try:
            _INJECTORS[fault.kind](self._system, fault)
        except Exception as error:
            self.errors.append(f"{fault}: {error!r}")
        fault.ended_at_s = time.time()

    def wait(self) -> None:
        """Waits until all faults have ended."""
        for thread in self._threads:
            thread.join()
