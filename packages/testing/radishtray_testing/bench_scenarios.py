"""Scenarios of the measurements: phases of load and faults at given times."""

import json
import signal
import urllib.request
from collections.abc import Callable
from typing import Final

from radishtray_testing.bench_deployments import Deployment
from radishtray_testing.load_plan import LoadPhase
from radishtray_testing.processes import LOOPBACK, LocalDeployment

CALM_FACTOR: Final = 0.5
SURGE_FACTOR: Final = 3.0
_SLOW_FACTOR: Final = 10.0


class Stage:
    """What a fault acts on.

    Attributes:
        local: The running processes.
        deployment: Their sizes and domains.
    """

    __slots__ = ("deployment", "local")

    def __init__(self, local: LocalDeployment, deployment: Deployment) -> None:
        """Holds the parts."""
        self.local = local
        self.deployment = deployment

    def set_faults(self, service: str, **faults: object) -> None:
        """Puts faults in force at all upstreams of a service."""
        for node_id, upstream in self.local.upstreams.items():
            if node_id.startswith(f"{service}-"):
                port = int(upstream.ready_info["control_port"])
                request = urllib.request.Request(
                    f"http://{LOOPBACK}:{port}/faults",
                    data=json.dumps(faults).encode(),
                    method="PUT",
                )
                urllib.request.urlopen(request, timeout=10).close()

    def signal_domain(self, domain: str, number: signal.Signals) -> None:
        """Signals all nodes and upstreams of a failure domain."""
        for node_id, node in self.local.nodes.items():
            if node.failure_domain == domain:
                node.send_signal(number)
                self.local.upstreams[node_id].send_signal(number)


Fault = Callable[[Stage], None]


class Scenario:
    """One scenario.

    Attributes:
        name: Name for files.
        text: What happens, for reports.
        calm: Factor of the load outside the event.
        during: Factor of the load during the event.
        begin: Starts the fault, if there is one.
        end: Ends it.
    """

    __slots__ = ("begin", "calm", "during", "end", "name", "text")

    def __init__(
        self,
        name: str,
        text: str,
        during: float,
        begin: Fault | None = None,
        end: Fault | None = None,
    ) -> None:
        """Holds the parts."""
        self.name = name
        self.text = text
        self.calm = CALM_FACTOR
        self.during = during
        self.begin = begin
        self.end = end

    def phases(self, seconds: float) -> list[LoadPhase]:
        """Returns calm, event and calm phases of a run of this length."""
        before, event = event_times(seconds)
        return [
            LoadPhase(before, self.calm),
            LoadPhase(event - before, self.during),
            LoadPhase(seconds - event, self.calm),
        ]


def event_times(seconds: float) -> tuple[float, float]:
    """Returns start and end of the event in a run of this length."""
    return round(seconds * 0.2, 1), round(seconds * 0.5, 1)


SCENARIOS: dict[str, Scenario] = {}


def scenario(
    name: str, text: str, during: float = CALM_FACTOR
) -> Callable[[Callable[[Stage, bool], None]], Callable[[Stage, bool], None]]:
    """Registers a function that starts (True) or ends (False) a fault."""

    def register(
        act: Callable[[Stage, bool], None],
    ) -> Callable[[Stage, bool], None]:
        SCENARIOS[name] = Scenario(
            name,
            text,
            during,
            lambda stage: act(stage, True),
            lambda stage: act(stage, False),
        )
        return act

    return register


@scenario("steady", "half of the capacity all the time")
def _steady(stage: Stage, begins: bool) -> None:
    """Nothing happens."""


@scenario("surge", "3 times the capacity", SURGE_FACTOR)
def _surge(stage: Stage, begins: bool) -> None:
    """The load alone changes."""


@scenario("deep_slow", "the deepest service works 10 times slower")
def _deep_slow(stage: Stage, begins: bool) -> None:
    factor = _SLOW_FACTOR if begins else 1.0
    stage.set_faults(stage.deployment.deep_service, slow_factor=factor)


@scenario("domain_cut", "all processes of one failure domain stand still")
def _domain_cut(stage: Stage, begins: bool) -> None:
    number = signal.SIGSTOP if begins else signal.SIGCONT
    stage.signal_domain(stage.deployment.domains[-1], number)


@scenario("silent", "the open connections of the deepest service go silent")
def _silent(stage: Stage, begins: bool) -> None:
    if begins:
        stage.set_faults(stage.deployment.deep_service, silence_open=True)


@scenario(
    "platform_down", "the platform stands still, at 1.5 times the capacity", 1.5
)
def _platform_down(stage: Stage, begins: bool) -> None:
    number = signal.SIGSTOP if begins else signal.SIGCONT
    stage.local.platform.send_signal(number)
