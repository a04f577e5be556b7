"""Load plans: request kinds with rates, and phases with load factors."""

import json
from typing import Any


class KindLoad:
    """Rate and properties of the requests of one kind.

    Attributes:
        name: Qualified name, `service/kind`.
        method: HTTP method.
        path: Path at the entry node; `{}` is replaced by the request number.
        rate: Requests per second at load factor 1.
        weight: Weight of a good answer in the goodput.
        deadline_s: Longest time from arrival to a good answer, in seconds.
        keyed: Whether requests carry an idempotency key.
        idempotent: Whether a request without a key may be sent again after an
            unknown outcome.
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
        """Checks the rate and the deadline.

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
        """Returns all attributes as JSON values."""
        return {name: getattr(self, name) for name in self.__slots__}


class LoadPhase:
    """A period of the load with a constant load factor.

    Attributes:
        seconds: Duration.
        factor: Load factor, by which the rates of all kinds are multiplied.
    """

    __slots__ = ("factor", "seconds")

    def __init__(self, seconds: float, factor: float) -> None:
        """Checks the duration and the load factor.

        Raises:
            ValueError: If one of them is not positive.
        """
        if seconds <= 0 or factor <= 0:
            raise ValueError("seconds and factor of a phase must be positive")
        self.seconds = seconds
        self.factor = factor


class LoadPlan:
    """Load of one run, in the format that the load tool reads.

    Attributes:
        kinds: The kinds of requests.
        phases: The phases in order.
        max_resends: Most resends of one request.
        resend_delay_s: Mean delay before a resend, in seconds.
    """

    __slots__ = ("kinds", "max_resends", "phases", "resend_delay_s")

    def __init__(
        self,
        kinds: list[KindLoad],
        phases: list[LoadPhase],
        max_resends: int = 2,
        resend_delay_s: float = 0.1,
    ) -> None:
        """Checks that the plan is not empty.

        Raises:
            ValueError: If there is no kind or no phase.
        """
        if not kinds or not phases:
            raise ValueError("a load needs at least one kind and one phase")
        self.kinds = kinds
        self.phases = phases
        self.max_resends = max_resends
        self.resend_delay_s = resend_delay_s

    @property
    def seconds(self) -> float:
        """Total duration of all phases."""
        return sum(phase.seconds for phase in self.phases)

    @property
    def total_rate(self) -> float:
        """Total requests per second of all kinds at load factor 1."""
        return sum(kind.rate for kind in self.kinds)

    def factor_at(self, at_s: float) -> float:
        """Returns the load factor at a time of the run.

        It is 0 after the last phase.
        """
        for phase in self.phases:
            if at_s < phase.seconds:
                return phase.factor
            at_s -= phase.seconds
        return 0.0

    @classmethod
    def parse(cls, text: str) -> "LoadPlan":
        """Parses a plan that `encode` returned.

        Raises:
            ValueError: If the text is not a valid plan.
        """
        content = json.loads(text)
        return cls(
            [KindLoad(**kind) for kind in content["kinds"]],
            [LoadPhase(**phase) for phase in content["phases"]],
            int(content.get("resends", 2)),
            float(content.get("resend_delay_s", 0.1)),
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
                "resends": self.max_resends,
                "resend_delay_s": self.resend_delay_s,
            }
        )
