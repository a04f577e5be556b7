"""Detection of connections whose peer no longer acknowledges anything.

Something between the two ends may have lost track of a connection. Its packets
are then dropped without a reset.
"""

import socket
from typing import Any

_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBES = 1
_UNACKNOWLEDGED_LIMIT_MS = 2000
_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
    # Probes are sent on idle connections only; this limits data in transit.
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_LIMIT_MS),
)


def enable_keep_alive(transport: Any) -> None:
    """Lets the kernel end a connection whose peer is silent for about 2 s.

    Args:
        transport: A connected TCP transport of Twisted.
    """
    handle = transport.getHandle()
    for level, option, value in _OPTIONS:
        handle.setsockopt(level, option, value)
