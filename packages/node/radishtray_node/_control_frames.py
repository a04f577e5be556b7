"""Dispatch of control frames: requests of other nodes and their replies."""

from collections.abc import Callable

from radishtray_node._fleet import Fleet
from radishtray_node._slot_service import SlotService
from radishtray_protocol import wire
from radishtray_transport import NodeConnection


class ControlFrameDispatcher:
    """Passes each control frame to the component that handles it."""

    __slots__ = ("_get_fleet", "_slot_service")

    def __init__(
        self, slot_service: SlotService, get_fleet: Callable[[], Fleet]
    ) -> None:
        """Takes the components that handle frames.

        Args:
            slot_service: Handles slot tables and key records.
            get_fleet: Returns the component that exchanges releases of the
                configuration. Fails before the node has started.
        """
        self._slot_service = slot_service
        self._get_fleet = get_fleet

    def handle_frame(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Handles a request or a push of another node.

        Frames of other types are ignored.
        """
        if frame.slot_table_pull is not None:
            reply = self._slot_service.answer_table_pull(frame.slot_table_pull)
            if reply is not None:
                connection.send(reply)
        elif frame.slot_table_push is not None:
            self._slot_service.receive_table(
                frame.slot_table_push, is_reply=False
            )
        elif frame.key_records is not None:
            connection.send(
                self._slot_service.receive_records(frame.key_records)
            )
        elif frame.release_pull is not None:
            connection.send(
                self._get_fleet().answer_release_pull(frame.release_pull)
            )

    def handle_reply(self, node_id: str, frame: wire.Frame) -> None:
        """Handles the reply of a node to a control frame of this node."""
        if frame.slot_table_push is not None:
            self._slot_service.receive_table(
                frame.slot_table_push, is_reply=True
            )
        elif frame.key_records_ack is not None:
            self._slot_service.receive_records_ack(
                node_id, frame.key_records_ack
            )
