"""Tests of the handover of key records to other nodes."""

import random
from typing import Any, cast

import pytest

from radishtray_node._control_frames import ControlFrameDispatcher
from radishtray_node._slot_service import SlotService
from radishtray_protocol import wire
from radishtray_state import KeyRecords, SlotOwner
from radishtray_testing.memory_network import MemoryNetwork
from radishtray_testing.node_builders import NetworkClock

SLOT = 3
ACK_TIMEOUT_S = 5.0


class Handover:
    """Transfers of one slot's records by a node.

    Attributes:
        results: For each transfer whether it was acknowledged; None while it
            is open.
        sent: Node ids to which records were sent.
    """

    def __init__(self) -> None:
        """Creates the sending node without transfers."""
        self.results: list[bool | None] = []
        self.sent: list[str] = []
        self._network = MemoryNetwork()
        self._service = SlotService(
            self._network,
            NetworkClock(self._network),
            random.Random(1),
            cast(Any, None),
            cast(Any, None),
            cast(Any, None),
            lambda _service: (),
            self._send_frame,
            lambda _service, _is_reply: None,
        )
        self._control_frames = ControlFrameDispatcher(
            self._service, lambda: cast(Any, None)
        )

    def _send_frame(self, node_id: str, frame: wire.Frame) -> bool:
        self.sent.append(node_id)
        return frame.key_records is not None

    def transfer(self, node_id: str) -> None:
        """Sends records to a node."""
        number = len(self.results)
        self.results.append(None)

        def record(result: bool) -> None:
            self.results[number] = result

        self._service._send_records(
            SlotOwner(node_id, 1), KeyRecords("s", SLOT, ())
        ).addCallbacks(lambda _: record(True), lambda _: record(False))

    def acknowledge(self, node_id: str) -> None:
        """Delivers an acknowledgement by a node."""
        ack = wire.KeyRecordsAck(service_name="s", slot=SLOT)
        self._control_frames.handle_reply(
            node_id, wire.Frame(key_records_ack=ack)
        )

    def time_out(self) -> None:
        """Waits until open transfers have timed out."""
        self._network.run(ACK_TIMEOUT_S + 0.1)


# Name: events, as a transfer to a node (`>a`), an acknowledgement by it (`<a`)
# or a timeout (`.`), and the results of the transfers.
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
    for event in events.split():
        if event == ".":
            handover.time_out()
        elif event.startswith(">"):
            handover.transfer(event[1:])
        else:
            handover.acknowledge(event[1:])
    assert handover.results == results
