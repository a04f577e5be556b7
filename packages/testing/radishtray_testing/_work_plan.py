"""What an upstream stand-in does for each kind of request."""

import json
import re
from typing import Any


class SubCall:
    """One call to another service.

    Attributes:
        method: HTTP method.
        path: Path at the node, `/call/<service>/<path>`.
    """

    __slots__ = ("method", "path")

    def __init__(self, text: str) -> None:
        """Parses `METHOD /call/<service>/<path>`.

        Raises:
            ValueError: If the text has another form.
        """
        method, _, path = text.partition(" ")
        if not path.startswith("/call/"):
            raise ValueError(
                f"call {text!r} is not 'METHOD /call/<service>/<path>'"
            )
        self.method = method
        self.path = path


class KindPlan:
    """Work and calls of one kind.

    Attributes:
        service_s: Mean time of the own work in seconds.
        calls: Calls made one after the other once the own work is done.
    """

    __slots__ = ("calls", "service_s")

    def __init__(self, service_s: float, calls: tuple[SubCall, ...]) -> None:
        """Checks and holds the parts.

        Raises:
            ValueError: If the time is negative.
        """
        if service_s < 0:
            raise ValueError(f"service time {service_s} s is negative")
        self.service_s = service_s
        self.calls = calls


class WorkPlan:
    """The plans of all kinds.

    A kind is given as the first segment of its path, or as its method and path
    template; the second form wins.

    >>> plan = WorkPlan.parse('{"buy": {"ms": 5}, "GET /a/{b}": {}}', 20.0)
    >>> plan.of("POST", "/buy/7?seat=2").service_s
    0.005
    """

    __slots__ = ("_default", "_segments", "_templates")

    def __init__(self, kinds: dict[str, KindPlan], default: KindPlan) -> None:
        """Holds the plans.

        Args:
            kinds: Plans by kind.
            default: Plan of every other kind.
        """
        self._default = default
        self._segments = kinds
        self._templates = [
            (method, _pattern(path), plan)
            for kind, plan in kinds.items()
            for method, _, path in [kind.partition(" ")]
            if path
        ]

    @classmethod
    def parse(cls, text: str, default_ms: float) -> "WorkPlan":
        """Reads a plan from JSON.

        Args:
            text: Object of kinds, each with `ms` and `calls`, both optional.
            default_ms: Mean time of work where `ms` is absent.

        Raises:
            ValueError: If the text is no valid plan.
        """
        shown = json.loads(text)
        if not isinstance(shown, dict):
            raise ValueError("a plan must be a JSON object")
        kinds = {
            name: _parse_kind(name, value, default_ms)
            for name, value in shown.items()
        }
        return cls(kinds, KindPlan(default_ms / 1000, ()))

    def of(self, method: str, target: str) -> KindPlan:
        """Returns the plan for a request."""
        path = target.partition("?")[0]
        for known, pattern, plan in self._templates:
            if known == method and pattern.fullmatch(path):
                return plan
        kind = path.strip("/").partition("/")[0]
        return self._segments.get(kind, self._default)


def _pattern(template: str) -> re.Pattern[str]:
    """Compiles a path in which {name} stands for one segment."""
    parts = re.split(r"\{\w+\}", template)
    return re.compile("[^/]+".join(map(re.escape, parts)))


def _parse_kind(name: str, value: Any, default_ms: float) -> KindPlan:
    if not isinstance(value, dict) or value.keys() - {"ms", "calls"}:
        raise ValueError(f"plan of {name!r} may only have 'ms' and 'calls'")
    calls = tuple(SubCall(text) for text in value.get("calls", ()))
    return KindPlan(float(value.get("ms", default_ms)) / 1000, calls)
