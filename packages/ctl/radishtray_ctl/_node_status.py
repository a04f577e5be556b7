"""The report of the command `status` about one node."""

import json
from collections.abc import Iterable
from typing import Any

from radishtray_ctl._arguments import NodeAddress
from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_ctl._report import format_utc

_UNKNOWN_OUTCOMES_KEY = "unknown_outcomes"


class NodeStatus:
    """The status of one node, or the error if it could not be read.

    Attributes:
        node: Address of the node.
        values: JSON object that the node returned; empty after an error.
        error: Error of the call, or None.
    """

    __slots__ = ("error", "node", "values")

    def __init__(
        self,
        node: NodeAddress,
        values: dict[str, Any],
        error: CommandError | None = None,
    ) -> None:
        """Creates a status from the attributes that the class describes."""
        self.node = node
        self.values = values
        self.error = error

    @property
    def unknown_outcomes(self) -> list[Any]:
        """The unknown outcomes that the node keeps, oldest first."""
        outcomes = self.values.get(_UNKNOWN_OUTCOMES_KEY)
        return outcomes if isinstance(outcomes, list) else []

    @property
    def unknown_outcomes_total(self) -> int:
        """Number of unknown outcomes since the node started.

        It may exceed the number of outcomes that the node keeps.
        """
        total = self.values.get(f"{_UNKNOWN_OUTCOMES_KEY}_total")
        kept_count = len(self.unknown_outcomes)
        return max(total, kept_count) if isinstance(total, int) else kept_count

    @property
    def exit_code(self) -> ExitCode:
        """Exit code of the command if this were the only node."""
        if self.error is not None:
            return self.error.exit_code
        return ExitCode.REFUSED if self.unknown_outcomes_total else ExitCode.OK

    @property
    def finding(self) -> str | None:
        """Text of the problem that an operator has to look at, or None."""
        if self.error is not None:
            return str(self.error)
        if not self.unknown_outcomes_total:
            return None
        noun = "outcome" if self.unknown_outcomes_total == 1 else "outcomes"
        return (
            f"node {self.node} has {self.unknown_outcomes_total} unknown {noun}"
        )

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON form for scripts."""
        error = self.error
        return {
            "node": str(self.node),
            "error": None if error is None else error.error_code,
            "status": self.values if error is None else None,
        }

    def format_lines(self) -> list[str]:
        """Returns the lines of the text output."""
        if self.error is not None:
            return [f"node {self.node}: no status"]
        lines = [f"node {self.node}:"]
        for key, value in self.values.items():
            if key != _UNKNOWN_OUTCOMES_KEY:
                lines.append(f"  {key}: {_format_value(value)}")
        lines.append(f"  {_UNKNOWN_OUTCOMES_KEY}: {len(self.unknown_outcomes)}")
        lines.extend(
            f"    {_format_outcome(outcome)}"
            for outcome in self.unknown_outcomes
        )
        return lines


def worst_exit_code(statuses: Iterable[NodeStatus]) -> ExitCode:
    """Returns the highest exit code, so that an unreachable node prevails."""
    return max((status.exit_code for status in statuses), default=ExitCode.OK)


def _format_outcome(outcome: Any) -> str:
    """Returns the time, the kind, the reason, the key and the request id.

    >>> _format_outcome({"wall_ms": 0, "kind": "a/b", "reason": "node_lost",
    ...     "key": None, "request_id": "0f"})
    '1970-01-01T00:00:00.000Z  a/b  node_lost  key=-  request_id=0f'
    """
    if not isinstance(outcome, dict):
        return _format_value(outcome)
    return "  ".join(
        (
            _format_time(outcome.get("wall_ms")),
            _format_value(outcome.get("kind")),
            _format_value(outcome.get("reason")),
            f"key={_format_value(outcome.get('key'))}",
            f"request_id={_format_value(outcome.get('request_id'))}",
        )
    )


def _format_time(wall_ms: Any) -> str:
    return format_utc(wall_ms) if isinstance(wall_ms, int) else "-"


def _format_value(value: Any) -> str:
    if value is None:
        return "-"
    return value if isinstance(value, str) else json.dumps(value)
