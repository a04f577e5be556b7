"""Tests of processes on the memory network."""

from twisted.internet.protocol import Factory, Protocol

from radishtray_testing.memory_network import (
    MemoryNetwork,
    MemoryProcess,
    RawConnection,
)

_PORT = 7000


class _Echo(Protocol):
    """Sends back what it receives."""

    def dataReceived(self, data: bytes) -> None:
        """Sends the data back."""
        self.transport.write(data)


def _start_echo_process(network: MemoryNetwork) -> MemoryProcess:
    process = MemoryProcess(network)
    process.listenTCP(_PORT, Factory.forProtocol(_Echo))
    return process


def _send(network: MemoryNetwork, data: bytes) -> RawConnection:
    connection = network.open_connection(_PORT)
    assert connection.transport is not None
    connection.transport.write(data)
    network.run(0.02)
    return connection


def test_a_paused_process_handles_connections_and_timers_on_resume() -> None:
    network = MemoryNetwork()
    process = _start_echo_process(network)
    fired: list[float] = []
    process.callLater(0.01, lambda: fired.append(process.seconds()))
    process.pause()
    connection = _send(network, b"a")
    assert (connection.received, fired) == (b"", [])
    process.resume()
    network.run(0.02)
    assert (connection.received, len(fired)) == (b"a", 1)


def test_a_call_that_an_earlier_one_cancels_on_resume_does_not_run() -> None:
    network = MemoryNetwork()
    process = MemoryProcess(network)
    ran: list[str] = []
    second = process.callLater(0.02, ran.append, "second")
    process.callLater(0.01, second.cancel)
    process.pause()
    network.run(0.1)
    process.resume()
    assert ran == []
    assert not second.active()


def test_a_killed_process_closes_its_sockets_and_runs_no_more() -> None:
    network = MemoryNetwork()
    process = _start_echo_process(network)
    ran: list[str] = []
    process.callLater(0.1, ran.append, "after the kill")
    connection = _send(network, b"a")
    assert connection.received == b"a"
    process.kill()
    successor = _start_echo_process(network)
    network.run(0.2)
    assert connection.is_closed
    assert ran == []
    assert _send(network, b"b").received == b"b"
    assert not successor.has_ended


def test_calls_run_at_their_own_times_in_an_exact_run() -> None:
    network = MemoryNetwork()
    times: list[float] = []

    def note() -> None:
        times.append(network.seconds())

    for delay_s in (0.003, 0.001):
        network.callLater(delay_s, note)
    network.run_exactly(0.01)
    assert times == [0.001, 0.003]
    assert network.seconds() == 0.01
