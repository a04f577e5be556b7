"""Scenarios of the bench: load phases and a fault during the event.

Each run has a base load, the event, and the base load again. Load factors are
multiples of the load at which the most utilized service is at capacity.
"""

import json
import signal
import urllib.request
from collections.abc import Callable
from typing import Final

from radishtray_testing.bench_deployments import Deployment
from radishtray_testing.load_plan import LoadPhase
from radishtray_testing.processes import LOOPBACK, LocalDeployment

BASE_LOAD_FACTOR: Final = 0.5
SURGE_LOAD_FACTOR: Final = 3.0
_SLOW_FACTOR: Final = 10.0


class FaultInjector:
    """Injects faults into the running processes.

    Attributes:
        processes: The running processes.
        deployment: Services, sizes and failure domains of the processes.
    """

    __slots__ = ("deployment", "processes")

    def __init__(
        self, processes: LocalDeployment, deployment: Deployment
    ) -> None:
        """Creates an injector for a running deployment."""
        self.processes = processes
        self.deployment = deployment

    def set_faults(self, service: str, **faults: object) -> None:
        """Replaces the active faults of all upstreams of a service."""
        for node_id, upstream in self.processes.upstreams.items():
            if node_id.startswith(f"{service}-"):
                port = int(upstream.ready_info["control_port"])
                request = urllib.request.Request(
                    f"http://{LOOPBACK}:{port}/faults",
                    data=json.dumps(faults).encode(),
                    method="PUT",
                )
                urllib.request.urlopen(request, timeout=10).close()

    def signal_failure_domain(
        self, failure_domain: str, signal_number: signal.Signals
    ) -> None:
        """Sends a signal to all nodes and upstreams of a failure domain."""
        for node_id, node in self.processes.nodes.items():
            if node.failure_domain == failure_domain:
                node.send_signal(signal_number)
                self.processes.upstreams[node_id].send_signal(signal_number)


FaultAction = Callable[[FaultInjector], None]


class Scenario:
    """Load factors and fault of one scenario.

    Attributes:
        name: Name on the command line and in report file names.
        description: What happens during the event, for reports.
        base_load_factor: Load factor before and after the event.
        event_load_factor: Load factor during the event.
        begin_fault: Starts the fault, if there is one.
        end_fault: Ends the fault, if it has to be ended.
    """

    __slots__ = (
        "base_load_factor",
        "begin_fault",
        "description",
        "end_fault",
        "event_load_factor",
        "name",
    )

    def __init__(
        self,
        name: str,
        description: str,
        event_load_factor: float,
        begin_fault: FaultAction | None = None,
        end_fault: FaultAction | None = None,
    ) -> None:
        """Creates a scenario with the common base load."""
        self.name = name
        self.description = description
        self.base_load_factor = BASE_LOAD_FACTOR
        self.event_load_factor = event_load_factor
        self.begin_fault = begin_fault
        self.end_fault = end_fault

    def phases(self, seconds: float) -> list[LoadPhase]:
        """Returns the load phases before, during and after the event.

        Args:
            seconds: Duration of the whole run.
        """
        event_start_s, event_end_s = event_times(seconds)
        return [
            LoadPhase(event_start_s, self.base_load_factor),
            LoadPhase(event_end_s - event_start_s, self.event_load_factor),
            LoadPhase(seconds - event_end_s, self.base_load_factor),
        ]


def event_times(seconds: float) -> tuple[float, float]:
    """Returns start and end of the event in a run of `seconds`."""
    return round(seconds * 0.2, 1), round(seconds * 0.5, 1)


SCENARIOS: dict[str, Scenario] = {}


def register_scenario(
    name: str, description: str, event_load_factor: float = BASE_LOAD_FACTOR
) -> Callable[
    [Callable[[FaultInjector, bool], None]],
    Callable[[FaultInjector, bool], None],
]:
    """Returns a decorator that registers a scenario.

    The decorated function gets the injector and whether the fault has to be
    active: true at the start of the event, false at its end.

    Args:
        name: Name on the command line and in report file names.
        description: What happens during the event, for reports.
        event_load_factor: Load factor during the event.
    """

    def register(
        set_active: Callable[[FaultInjector, bool], None],
    ) -> Callable[[FaultInjector, bool], None]:
        SCENARIOS[name] = Scenario(
            name,
            description,
            event_load_factor,
            lambda injector: set_active(injector, True),
            lambda injector: set_active(injector, False),
        )
        return set_active

    return register


@register_scenario("steady", "the load stays at half of the capacity")
def _steady(injector: FaultInjector, active: bool) -> None:
    """The base load continues, without a fault."""


@register_scenario(
    "surge", "the load rises to 3 times the capacity", SURGE_LOAD_FACTOR
)
def _surge(injector: FaultInjector, active: bool) -> None:
    """Only the load changes; there is no fault."""


@register_scenario(
    "deep_slow", "service times of the deepest service are 10 times longer"
)
def _deep_slow(injector: FaultInjector, active: bool) -> None:
    factor = _SLOW_FACTOR if active else 1.0
    injector.set_faults(injector.deployment.deepest_service, slow_factor=factor)


@register_scenario(
    "domain_cut", "all processes of one failure domain are suspended"
)
def _domain_cut(injector: FaultInjector, active: bool) -> None:
    signal_number = signal.SIGSTOP if active else signal.SIGCONT
    injector.signal_failure_domain(
        injector.deployment.failure_domains[-1], signal_number
    )


@register_scenario(
    "silent", "the open connections of the deepest service stop responding"
)
def _silent(injector: FaultInjector, active: bool) -> None:
    if active:
        injector.set_faults(
            injector.deployment.deepest_service, silence_open=True
        )


@register_scenario(
    "platform_down", "the platform is suspended, at 1.5 times the capacity", 1.5
)
def _platform_down(injector: FaultInjector, active: bool) -> None:
    signal_number = signal.SIGSTOP if active else signal.SIGCONT
    injector.processes.platform.send_signal(signal_number)
