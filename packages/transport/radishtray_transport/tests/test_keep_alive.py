"""Guards against connections that are silent for long without notice."""

import socket
from typing import Any

from radishtray_transport._keep_alive import enable_keep_alive


class _Transport:
    """A transport with a real socket."""

    def __init__(self, handle: socket.socket) -> None:
        self._handle = handle

    def getHandle(self) -> Any:
        return self._handle


def test_the_kernel_ends_a_silent_connection_within_about_two_seconds() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as handle:
        enable_keep_alive(_Transport(handle))

        def tcp_option(option: int) -> int:
            return handle.getsockopt(socket.IPPROTO_TCP, option)

        assert handle.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        probe_s = tcp_option(socket.TCP_KEEPINTVL)
        probes = tcp_option(socket.TCP_KEEPCNT)
        assert tcp_option(socket.TCP_KEEPIDLE) + probes * probe_s <= 2
        assert 0 < tcp_option(socket.TCP_USER_TIMEOUT) <= 2000


def test_a_peer_that_may_read_slowly_has_no_limit_for_data_in_transit() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as handle:
        enable_keep_alive(_Transport(handle), limits_transit=False)
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert handle.getsockopt(*option) == 0
        assert handle.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
