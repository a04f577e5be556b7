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
_PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
)
# Probes are sent while nothing is in transit; this limits data in transit.
_TRANSIT_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_LIMIT_MS),
)


def enable_keep_alive(transport: Any, *, limits_transit: bool = True) -> None:
    """Lets the kernel end a connection whose peer is silent for about 2 s.

    Args:
        transport: A connected TCP transport of Twisted.
        limits_transit: Whether that applies to data in transit too. The limit
            also ends the connection to a peer that reads nothing for so long.
    """
    handle = transport.getHandle()
    options = _PROBE_OPTIONS + (_TRANSIT_OPTIONS if limits_transit else ())
    for level, option, value in options:
        handle.setsockopt(level, option, value)
