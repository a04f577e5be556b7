"""Tests of the handover of key records to other nodes."""

import pytest

from radishtray_node._application import Application
from radishtray_node._settings import parse_settings
from radishtray_protocol import wire
from radishtray_state import KeyRecords, SlotOwner
from radishtray_testing.memory_network import MemoryNetwork
from radishtray_testing.node_builders import CLUSTER_KEYS, LOOPBACK

SLOT = 3
ACK_TIMEOUT_S = 5.0
INCARNATION = 5
SETTINGS = {
    "RADISHTRAY_NODE_ID": "sender",
    "RADISHTRAY_FAILURE_DOMAIN": "d",
    "RADISHTRAY_ADDRESS": LOOPBACK,
    "RADISHTRAY_CLUSTER_KEYS": CLUSTER_KEYS,
    "RADISHTRAY_OPERATOR_TOKEN": "0123456789abcdef",
    "RADISHTRAY_PLATFORM": f"http://{LOOPBACK}:1",
}


class Handover:
    """Transfers of one slot's records by a node.

    Attributes:
        results: For each transfer whether it was acknowledged; None while it
            is open.
    """

    def __init__(self) -> None:
        """Creates the sending node, whose frames reach no other node."""
        self.results: list[bool | None] = []
        self._network = MemoryNetwork()
        self._node = Application(self._network, parse_settings([], SETTINGS).ok)
        self._slot_service = self._node._slot_service
        self._slot_service._send_frame = lambda _node_id, _frame: True

    def play(self, events: str) -> None:
        """Plays events that are separated by spaces.

        Args:
            events: `>a` for a transfer to node `a`, `<a` for an acknowledgement
                by it, `=a` for a handshake with the process that the transfers
                are for, `+a` for one with a later process, and `.` for the time
                after which open transfers time out.
        """
        actions = {
            ">": self.transfer,
            "<": self.acknowledge,
            "=": lambda node_id: self.connect(node_id, INCARNATION),
            "+": lambda node_id: self.connect(node_id, INCARNATION + 1),
            ".": lambda _node_id: self.time_out(),
        }
        for event in events.split():
            actions[event[0]](event[1:])

    def transfer(self, node_id: str) -> None:
        """Sends records to a node."""
        number = len(self.results)
        self.results.append(None)

        def record(result: bool) -> None:
            self.results[number] = result

        self._slot_service._send_records(
            SlotOwner(node_id, INCARNATION), KeyRecords("s", SLOT, ())
        ).addCallbacks(lambda _: record(True), lambda _: record(False))

    def acknowledge(self, node_id: str) -> None:
        """Delivers an acknowledgement by a node."""
        ack = wire.KeyRecordsAck(service_name="s", slot=SLOT)
        self._node._control_frames.handle_reply(
            node_id, wire.Frame(key_records_ack=ack)
        )

    def connect(self, node_id: str, incarnation: int) -> None:
        """Completes the handshake with a process of a node."""
        self._node._peer_verified(node_id, incarnation)

    def time_out(self) -> None:
        """Waits until open transfers have timed out."""
        self._network.run(ACK_TIMEOUT_S + 0.1)


# Name: events as in `Handover.play`, and the results of the transfers.
TRANSFER_CASES: dict[str, tuple[str, list[bool | None]]] = {
    "in_time": (">a <a", [True]),
    "two_messages": (">a <a >a <a", [True, True]),
    "timeout": (">a .", [False]),
    "other_node_after_timeout": (">a . >b <b", [False, True]),
    "late": (">a . <a", [False]),
    "late_from_earlier_node": (">a . >b <a", [False, None]),
    "late_from_earlier_node_and_in_time": (">a . >b <a <b", [False, True]),
    "late_from_same_node": (">a . >a <a", [False, False]),
    "again_after_late": (">a . <a >a <a", [False, True]),
    "from_another_node": (">a <b", [None]),
}


@pytest.mark.parametrize("name", TRANSFER_CASES)
def test_a_late_acknowledgement_completes_no_other_transfer(name: str) -> None:
    events, results = TRANSFER_CASES[name]
    handover = Handover()
    handover.play(events)
    assert handover.results == results


# As `TRANSFER_CASES`.
RESTART_CASES: dict[str, tuple[str, list[bool | None]]] = {
    "reconnect": (">a =a <a", [True]),
    "before_acknowledgement": (">a +a <a", [False]),
    "before_transfer": ("+a >a <a", [False]),
    "of_another_node": (">a +b <a", [True]),
}


@pytest.mark.parametrize("name", RESTART_CASES)
def test_a_restarted_node_acknowledges_no_records_for_its_earlier_process(
    name: str,
) -> None:
    events, results = RESTART_CASES[name]
    handover = Handover()
    handover.play(events)
    assert handover.results == results
