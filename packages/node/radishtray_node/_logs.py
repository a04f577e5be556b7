"""Structured logging in the JSON lines format."""

import json
import logging
import sys
from datetime import UTC, datetime

_STANDARD_FIELDS = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", None, None))
) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Formats a log record and its `extra` fields as one JSON object."""

    def __init__(self, node_id: str) -> None:
        """Sets the node id that is written on each line."""
        super().__init__()
        self._node_id = node_id

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line of JSON."""
        time = datetime.fromtimestamp(record.created, UTC)
        line: dict[str, object] = {
            "time": time.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "node": self._node_id,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logging(node_id: str, level: str) -> None:
    """Sends all logs to standard error as JSON lines.

    Args:
        node_id: Node id that is written on each line.
        level: Name of the lowest log level to write, in any case.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
