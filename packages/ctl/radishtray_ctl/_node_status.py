"""What `status` reports about one node."""

import json
from collections.abc import Iterable
from typing import Any

from radishtray_ctl._arguments import NodeAddress
from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_ctl._report import utc_text

_OUTCOMES_KEY = "unknown_outcomes"


class NodeStatus:
    """The status of one node, or why there is none.

    Attributes:
        node: Address that was asked.
        values: Status as the node gave it; empty if there is none.
        error: Why there is no status, or None.
    """

    __slots__ = ("error", "node", "values")

    def __init__(
        self,
        node: NodeAddress,
        values: dict[str, Any],
        error: CommandError | None = None,
    ) -> None:
        """Holds the parts."""
        self.node = node
        self.values = values
        self.error = error

    @property
    def outcomes(self) -> list[Any]:
        """The unknown outcomes that the node keeps, oldest first."""
        outcomes = self.values.get(_OUTCOMES_KEY)
        return outcomes if isinstance(outcomes, list) else []

    @property
    def outcomes_total(self) -> int:
        """Unknown outcomes since the node's start."""
        total = self.values.get(f"{_OUTCOMES_KEY}_total")
        kept = len(self.outcomes)
        return max(total, kept) if isinstance(total, int) else kept

    @property
    def exit_code(self) -> ExitCode:
        """What this node alone makes of the exit code."""
        if self.error is not None:
            return self.error.exit_code
        return ExitCode.REFUSED if self.outcomes_total else ExitCode.OK

    @property
    def finding(self) -> str | None:
        """What an operator has to look at, or None."""
        if self.error is not None:
            return str(self.error)
        if not self.outcomes_total:
            return None
        noun = "outcome" if self.outcomes_total == 1 else "outcomes"
        return f"node {self.node} has {self.outcomes_total} unknown {noun}"

    def to_json(self) -> dict[str, Any]:
        """Returns the values for scripts."""
        error = self.error
        return {
            "node": str(self.node),
            "error": None if error is None else error.error,
            "status": self.values if error is None else None,
        }

    def lines(self) -> list[str]:
        """Returns the lines for people."""
        if self.error is not None:
            return [f"node {self.node}: no status"]
        lines = [f"node {self.node}:"]
        for key, value in self.values.items():
            if key != _OUTCOMES_KEY:
                lines.append(f"  {key}: {_text(value)}")
        lines.append(f"  {_OUTCOMES_KEY}: {len(self.outcomes)}")
        lines.extend(f"    {_outcome_text(one)}" for one in self.outcomes)
        return lines


def worst_exit_code(statuses: Iterable[NodeStatus]) -> ExitCode:
    """Returns the exit code for several nodes; no answer weighs most."""
    return max((status.exit_code for status in statuses), default=ExitCode.OK)


def _outcome_text(outcome: Any) -> str:
    """Returns the time, the kind, the reason, the key and the request id.

    >>> _outcome_text({"wall_ms": 0, "kind": "a/b", "reason": "node_lost",
    ...     "key": None, "request_id": "0f"})
    '1970-01-01T00:00:00.000Z  a/b  node_lost  key=-  request_id=0f'
    """
    if not isinstance(outcome, dict):
        return _text(outcome)
    return "  ".join(
        (
            _time_text(outcome.get("wall_ms")),
            _text(outcome.get("kind")),
            _text(outcome.get("reason")),
            f"key={_text(outcome.get('key'))}",
            f"request_id={_text(outcome.get('request_id'))}",
        )
    )


def _time_text(wall_ms: Any) -> str:
    return utc_text(wall_ms) if isinstance(wall_ms, int) else "-"


def _text(value: Any) -> str:
    if value is None:
        return "-"
    return value if isinstance(value, str) else json.dumps(value)
