"""Control frames of other nodes and the replies to this node's own."""

from collections.abc import Callable

from radishtray_node._fleet import Fleet
from radishtray_node._slot_service import SlotService
from radishtray_protocol import wire
from radishtray_transport import NodeConnection


class ControlFrames:
    """Passes control frames to the part of the node that handles them."""

    __slots__ = ("_fleet", "_slots")

    def __init__(self, slots: SlotService, fleet: Callable[[], Fleet]) -> None:
        """Joins the parts.

        Args:
            slots: Key slots and their tables.
            fleet: Returns the fleet once the node has started.
        """
        self._slots = slots
        self._fleet = fleet

    def received(self, connection: NodeConnection, frame: wire.Frame) -> None:
        """Answers a control frame of another node."""
        if frame.slot_table_pull is not None:
            reply = self._slots.table_reply(frame.slot_table_pull)
            if reply is not None:
                connection.send(reply)
        elif frame.slot_table_push is not None:
            self._slots.table_received(frame.slot_table_push, is_reply=False)
        elif frame.key_records is not None:
            connection.send(self._slots.records_received(frame.key_records))
        elif frame.release_pull is not None:
            connection.send(
                self._fleet().answer_release_pull(frame.release_pull)
            )

    def replied(self, node_id: str, frame: wire.Frame) -> None:
        """Takes the reply of a node to a control frame."""
        if frame.slot_table_push is not None:
            self._slots.table_received(frame.slot_table_push, is_reply=True)
        elif frame.key_records_ack is not None:
            self._slots.records_acknowledged(frame.key_records_ack)
        elif frame.release_push is not None:
            self._fleet().receive_release_push(node_id, frame.release_push)
