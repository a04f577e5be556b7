"""What a load consists of: kinds, rates and phases."""

import json
from typing import Any


class KindLoad:
    """Requests of one kind.

    Attributes:
        name: Qualified name, `service/kind`.
        method: HTTP method.
        path: Path at the entry node; `{}` becomes a number.
        rate: Requests per second at factor 1.
        weight: Weight in the goodput.
        deadline_s: Time within which an answer counts, in seconds.
        keyed: Whether requests carry an idempotency key.
        idempotent: Whether a request of unknown outcome may be sent again.
    """

    __slots__ = (
        "deadline_s",
        "idempotent",
        "keyed",
        "method",
        "name",
        "path",
        "rate",
        "weight",
    )

    def __init__(
        self,
        name: str,
        method: str,
        path: str,
        rate: float,
        weight: float = 1.0,
        deadline_s: float = 1.0,
        keyed: bool = False,
        idempotent: bool = True,
    ) -> None:
        """Checks and holds the parts.

        Raises:
            ValueError: If the rate or the deadline is not positive.
        """
        if rate <= 0 or deadline_s <= 0:
            raise ValueError(f"{name}: rate and deadline_s must be positive")
        self.name = name
        self.method = method
        self.path = path
        self.rate = rate
        self.weight = weight
        self.deadline_s = deadline_s
        self.keyed = keyed
        self.idempotent = idempotent

    def to_json(self) -> dict[str, Any]:
        """Returns the parts as JSON values."""
        return {name: getattr(self, name) for name in self.__slots__}


class LoadPhase:
    """A part of the run.

    Attributes:
        seconds: Length.
        factor: Multiplies the rate of every kind.
    """

    __slots__ = ("factor", "seconds")

    def __init__(self, seconds: float, factor: float) -> None:
        """Checks and holds the parts.

        Raises:
            ValueError: If a part is not positive.
        """
        if seconds <= 0 or factor <= 0:
            raise ValueError("seconds and factor of a phase must be positive")
        self.seconds = seconds
        self.factor = factor


class LoadPlan:
    """A whole load.

    Attributes:
        kinds: The kinds.
        phases: The phases in order.
        resends: Most resends of one request.
        resend_delay_s: Mean pause before a resend, in seconds.
    """

    __slots__ = ("kinds", "phases", "resend_delay_s", "resends")

    def __init__(
        self,
        kinds: list[KindLoad],
        phases: list[LoadPhase],
        resends: int = 2,
        resend_delay_s: float = 0.1,
    ) -> None:
        """Holds the parts.

        Raises:
            ValueError: If there is no kind or no phase.
        """
        if not kinds or not phases:
            raise ValueError("a load needs at least one kind and one phase")
        self.kinds = kinds
        self.phases = phases
        self.resends = resends
        self.resend_delay_s = resend_delay_s

    @property
    def seconds(self) -> float:
        """Length of all phases."""
        return sum(phase.seconds for phase in self.phases)

    @property
    def rate(self) -> float:
        """Requests per second of all kinds at factor 1."""
        return sum(kind.rate for kind in self.kinds)

    def factor_at(self, at_s: float) -> float:
        """Returns the factor in force; 0 after the last phase."""
        for phase in self.phases:
            if at_s < phase.seconds:
                return phase.factor
            at_s -= phase.seconds
        return 0.0

    @classmethod
    def parse(cls, text: str) -> "LoadPlan":
        """Reads what `encode` wrote.

        Raises:
            ValueError: If the text is no valid plan.
        """
        shown = json.loads(text)
        return cls(
            [KindLoad(**kind) for kind in shown["kinds"]],
            [LoadPhase(**phase) for phase in shown["phases"]],
            int(shown.get("resends", 2)),
            float(shown.get("resend_delay_s", 0.1)),
        )

    def encode(self) -> str:
        """Returns the plan as JSON."""
        return json.dumps(
            {
                "kinds": [kind.to_json() for kind in self.kinds],
                "phases": [
                    {"seconds": phase.seconds, "factor": phase.factor}
                    for phase in self.phases
                ],
                "resends": self.resends,
                "resend_delay_s": self.resend_delay_s,
            }
        )
