"""Work plan of an upstream stand-in: service time and calls of each kind."""

import json
import re
from typing import Any


class SubCall:
    """One call that the upstream makes to another service through its node.

    Attributes:
        method: HTTP method.
        path: Path at the node's upstream listener, `/call/<service>/<path>`.
    """

    __slots__ = ("method", "path")

    def __init__(self, text: str) -> None:
        """Parses `METHOD /call/<service>/<path>`.

        Raises:
            ValueError: If the path does not start with `/call/`.
        """
        method, _, path = text.partition(" ")
        if not path.startswith("/call/"):
            raise ValueError(
                f"call {text!r} is not 'METHOD /call/<service>/<path>'"
            )
        self.method = method
        self.path = path


class KindPlan:
    """What the stand-in does for a request of one kind.

    Attributes:
        mean_service_time_s: Mean time of its own work, without the calls.
        calls: Calls that it makes one after the other when that work is done.
    """

    __slots__ = ("calls", "mean_service_time_s")

    def __init__(
        self, mean_service_time_s: float, calls: tuple[SubCall, ...]
    ) -> None:
        """Creates the plan of a kind.

        Raises:
            ValueError: If the service time is negative.
        """
        if mean_service_time_s < 0:
            raise ValueError(
                f"mean service time {mean_service_time_s} s is negative"
            )
        self.mean_service_time_s = mean_service_time_s
        self.calls = calls


class WorkPlan:
    """The plans of all kinds.

    A kind is written as the first segment of its path (`buy`) or as its method
    and path template (`GET /a/{b}`). If a request matches both, the plan of the
    template is used.

    >>> plan = WorkPlan.parse('{"buy": {"ms": 5}, "GET /a/{b}": {}}', 20.0)
    >>> plan.plan_for("POST", "/buy/7?seat=2").mean_service_time_s
    0.005
    """

    __slots__ = ("_default_plan", "_plans_by_kind", "_template_plans")

    def __init__(
        self, plans_by_kind: dict[str, KindPlan], default_plan: KindPlan
    ) -> None:
        """Creates a work plan and compiles its path templates.

        Args:
            plans_by_kind: Plans by the kind as it is written.
            default_plan: Plan of all other kinds.
        """
        self._default_plan = default_plan
        self._plans_by_kind = plans_by_kind
        self._template_plans = [
            (method, _compile_template(path), plan)
            for kind, plan in plans_by_kind.items()
            for method, _, path in [kind.partition(" ")]
            if path
        ]

    @classmethod
    def parse(cls, text: str, default_ms: float) -> "WorkPlan":
        """Parses a work plan from JSON.

        Args:
            text: JSON object that maps each kind to an object with `ms` (mean
                service time) and `calls`, both optional.
            default_ms: Mean service time where `ms` is absent.

        Raises:
            ValueError: If the text is not a valid work plan.
        """
        document = json.loads(text)
        if not isinstance(document, dict):
            raise ValueError(
                "work plan must be a JSON object that maps kinds to plans"
            )
        plans_by_kind = {
            name: _parse_kind_plan(name, value, default_ms)
            for name, value in document.items()
        }
        return cls(plans_by_kind, KindPlan(default_ms / 1000, ()))

    def plan_for(self, method: str, target: str) -> KindPlan:
        """Returns the plan for a request with this method and target."""
        path = target.partition("?")[0]
        for template_method, pattern, plan in self._template_plans:
            if template_method == method and pattern.fullmatch(path):
                return plan
        kind = path.strip("/").partition("/")[0]
        return self._plans_by_kind.get(kind, self._default_plan)


def _compile_template(template: str) -> re.Pattern[str]:
    """Compiles a path template in which {name} matches one segment."""
    literals = re.split(r"\{\w+\}", template)
    return re.compile("[^/]+".join(map(re.escape, literals)))


def _parse_kind_plan(name: str, value: Any, default_ms: float) -> KindPlan:
    if not isinstance(value, dict) or value.keys() - {"ms", "calls"}:
        raise ValueError(
            f"plan of kind {name!r} must be an object with no other keys than"
            " 'ms' and 'calls'"
        )
    calls = tuple(SubCall(text) for text in value.get("calls", ()))
    return KindPlan(float(value.get("ms", default_ms)) / 1000, calls)
