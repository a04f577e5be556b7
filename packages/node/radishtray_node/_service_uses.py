"""What runs on the upstream beside this node use of scarce services."""

from collections.abc import Iterable

from radishtray_overload import (
    MAX_SERVICES,
    ServiceUse,
    SlotFill,
    add_uses,
    run_uses,
)
from radishtray_protocol import wire
from radishtray_state import AdmissionController, Clock, ParentRequest


def uses_to_wire(uses: Iterable[ServiceUse]) -> list[wire.ServiceUse] | None:
    """Returns the field of an answer; None if there is nothing to state."""
    return [
        wire.ServiceUse(
            service_name=use.service,
            slot_us=use.slot_us,
            fill_percent=use.fill_percent,
        )
        for use in uses
    ] or None


def uses_from_wire(
    uses: list[wire.ServiceUse] | None,
) -> tuple[ServiceUse, ...]:
    """Returns what an answer states, at most `MAX_SERVICES` services."""
    return tuple(
        ServiceUse(use.service_name, use.slot_us, use.fill_percent)
        for use in (uses or ())[:MAX_SERVICES]
    )


def add_call_uses(parent: ParentRequest, uses: Iterable[ServiceUse]) -> None:
    """Adds what the answer to a call states to the run that made the call."""
    if parent.service_uses is None:
        parent.service_uses = {}
    add_uses(parent.service_uses, uses)


class RunUses:
    """Sums the slot time of each run and that of the run's calls."""

    __slots__ = ("_clock", "_fill")

    def __init__(self, clock: Clock) -> None:
        """Starts with idle slots.

        Args:
            clock: Time source.
        """
        self._clock = clock
        self._fill = SlotFill(clock)

    def finish(
        self,
        parent: ParentRequest | None,
        service: str,
        started_s: float,
        admission: AdmissionController,
        slots: int,
    ) -> tuple[ServiceUse, ...]:
        """Returns what the answer to a run states.

        Args:
            parent: The run, as the parent of its calls.
            service: Service of the upstream.
            started_s: Monotonic time at which the run began.
            admission: Admission control of the upstream, in which the run still
                holds its slot.
            slots: Slots that the upstream has stated.
        """
        return run_uses(
            parent.service_uses if parent is not None else None,
            service,
            self._clock.monotonic() - started_s,
            self._fill.update(admission.in_flight, slots),
        )
