"""Which mechanisms of the admission control are on, by policy name."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Which mechanisms of the controller are on.

    Attributes:
        threshold: Whether ranks below a moving threshold are refused.
        deadline: Whether requests that cannot be answered in time are refused
            or dropped from the queue.
        priority: Whether the queue is ordered by rank; else by arrival.
        queue_per_slot: Bound of the queue, in waiting requests per slot.
    """

    threshold: bool = True
    deadline: bool = True
    priority: bool = True
    queue_per_slot: int = 32


ADMISSION_POLICIES: dict[str, AdmissionPolicy] = {}


def admission_policy(
    name: str,
) -> Callable[[Callable[[], AdmissionPolicy]], Callable[[], AdmissionPolicy]]:
    """Registers the result of the decorated function under a name."""

    def register(
        build: Callable[[], AdmissionPolicy],
    ) -> Callable[[], AdmissionPolicy]:
        if name in ADMISSION_POLICIES:
            raise ValueError(f"admission policy {name!r} is registered twice")
        ADMISSION_POLICIES[name] = build()
        return build

    return register


@admission_policy("adaptive")
def _adaptive() -> AdmissionPolicy:
    return AdmissionPolicy()


@admission_policy("none")
def _none() -> AdmissionPolicy:
    return AdmissionPolicy(
        threshold=False, deadline=False, priority=False, queue_per_slot=10_000
    )


@admission_policy("no_threshold")
def _no_threshold() -> AdmissionPolicy:
    return AdmissionPolicy(threshold=False)


@admission_policy("no_deadline")
def _no_deadline() -> AdmissionPolicy:
    return AdmissionPolicy(deadline=False)


@admission_policy("fifo")
def _fifo() -> AdmissionPolicy:
    return AdmissionPolicy(priority=False)
