"""Shares of the memory and the file descriptors of a process."""

from radishtray_node._metrics import Metrics
from radishtray_transport import HttpLimits, MemoryAccount, MemoryPurpose

# A node process without requests takes 44 MB, and more in a large fleet.
_BASE_BYTES = 64_000_000
# Of a small limit, this share is used even if that leaves less than the base.
_MIN_SHARE = 0.36
# Single bodies are copied while they are decoded and joined, and the allocator
# does not return all that is free. With 0.85, 7 of 54 uploads of 3 MB found no
# memory in a process of 300 MB (1 of 2 runs), which took 199 MB.
_ACCOUNT_SHARE = 0.95
_RESPONSE_SHARE = 1 / 8
# Descriptors for files, which sockets must not use.
_FILE_DESCRIPTORS = 200
_NODE_SHARE = 1 / 8
_UPSTREAM_SHARE = 1 / 5
# Health checks, reports of the upstream and operators: connections of each.
_CONTROL_CONNECTIONS = 16
_CONTROL_LISTENERS = 3
_CONTROL_BODY_BYTES = 64 * 1024
# Connections to the store, and those that a listener accepts above its limit.
_OTHER_DESCRIPTORS = 64
_MIN_CONNECTIONS = 8


class ProcessLimits:
    """What each use may take of the memory and the descriptors of a process.

    Attributes:
        account: Account of the memory that peers can fill.
        caller_connections: Connections from callers.
        node_connections: Connections from other nodes. As many descriptors are
            left for connections to them.
        upstream_connections: Connections to the upstream.
    """

    __slots__ = (
        "account",
        "caller_connections",
        "node_connections",
        "upstream_connections",
    )

    def __init__(self, memory_bytes: int, max_descriptors: int) -> None:
        """Divides the limits of the process.

        Args:
            memory_bytes: Memory that the process may take.
            max_descriptors: File descriptors that it may open.
        """
        available = max(
            memory_bytes - _BASE_BYTES, int(memory_bytes * _MIN_SHARE)
        )
        accounted = int(available * _ACCOUNT_SHARE)
        response_bytes = int(accounted * _RESPONSE_SHARE)
        self.account = MemoryAccount(accounted - response_bytes, response_bytes)
        sockets = max_descriptors - _FILE_DESCRIPTORS
        self.node_connections = max(
            _MIN_CONNECTIONS, int(sockets * _NODE_SHARE)
        )
        self.upstream_connections = max(
            _MIN_CONNECTIONS, int(sockets * _UPSTREAM_SHARE)
        )
        self.caller_connections = max(
            _MIN_CONNECTIONS,
            sockets
            - 2 * self.node_connections
            - self.upstream_connections
            - _CONTROL_LISTENERS * _CONTROL_CONNECTIONS
            - _OTHER_DESCRIPTORS,
        )

    def caller_limits(self, body_bytes: int, request_s: float) -> HttpLimits:
        """Returns the limits of the listener for callers."""
        return HttpLimits(
            body_bytes=body_bytes,
            request_s=request_s,
            connections=self.caller_connections,
        )

    @staticmethod
    def control_limits() -> HttpLimits:
        """Returns the limits of a listener for checks, reports or metrics.

        They are small enough to need no account, so that what callers send
        never keeps out a health check.
        """
        return HttpLimits(
            body_bytes=_CONTROL_BODY_BYTES, connections=_CONTROL_CONNECTIONS
        )

    def add_gauges(self, metrics: Metrics) -> None:
        """Registers a gauge of each purpose of memory."""
        metrics.add_labelled_gauge(
            "radishtray_memory_bytes",
            "Memory that is accounted for, by purpose.",
            ["purpose"],
            lambda: _labelled(self.account.used_by_purpose()),
        )
        metrics.add_labelled_gauge(
            "radishtray_memory_max_bytes",
            "Memory that a purpose may take if no other takes any.",
            ["purpose"],
            lambda: _labelled(self.account.max_by_purpose()),
        )


def _labelled(
    values: dict[MemoryPurpose, int],
) -> list[tuple[list[str], float]]:
    return [([purpose.value], size) for purpose, size in values.items()]
