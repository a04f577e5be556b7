"""Admission policies: the mechanisms that are enabled, by policy name.

`adaptive` enables all of them. The other policies are baselines, which disable
one or all of the mechanisms.
"""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Mechanisms that the admission controller applies.

    Attributes:
        uses_threshold: Whether requests below an adaptive rank threshold are
            refused.
        enforces_deadlines: Whether requests that are expected to miss their
            deadline are refused or dropped from the queue.
        orders_by_rank: Whether the queue is ordered by rank and then by
            arrival, or else by arrival alone.
        max_queued_per_slot: Bound of the queue, in queued requests per slot.
    """

    uses_threshold: bool = True
    enforces_deadlines: bool = True
    orders_by_rank: bool = True
    max_queued_per_slot: int = 32


ADMISSION_POLICIES: dict[str, AdmissionPolicy] = {}


def admission_policy(
    name: str,
) -> Callable[[Callable[[], AdmissionPolicy]], Callable[[], AdmissionPolicy]]:
    """Registers the policy that the decorated function returns.

    Args:
        name: Name by which settings select the policy.

    Raises:
        ValueError: When the decorator is applied, if the name is taken.
    """

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
        uses_threshold=False,
        enforces_deadlines=False,
        orders_by_rank=False,
        max_queued_per_slot=10_000,
    )


@admission_policy("no_threshold")
def _no_threshold() -> AdmissionPolicy:
    return AdmissionPolicy(uses_threshold=False)


@admission_policy("no_deadline")
def _no_deadline() -> AdmissionPolicy:
    return AdmissionPolicy(enforces_deadlines=False)


@admission_policy("fifo")
def _fifo() -> AdmissionPolicy:
    return AdmissionPolicy(orders_by_rank=False)
