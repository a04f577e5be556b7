"""Ownership of at-most-once key slots and exchange of slot tables."""

import logging
import random
from collections.abc import Callable, Collection
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from radishtray_coordination import ObjectStore, SlotDriver
from radishtray_node._call_result import CallResult
from radishtray_protocol import decode_slot_table, encode_slot_table, wire
from radishtray_state import (
    Clock,
    KeyOwner,
    KeyRecord,
    KeyRecords,
    KeyRouter,
    RequestKey,
    SlotOwner,
    SlotTable,
)
from radishtray_transport import NotFound

_LOG = logging.getLogger(__name__)
_ACK_TIMEOUT_S = 5.0
# Lets nodes that start together discover one another first. Without the delay,
# the first would claim every slot, and giving slots back takes two minutes.
_FIRST_CLAIM_DELAY_S = 2.0

SendFrame = Callable[[str, wire.Frame], bool]
"""Sends a control frame to a node id; False if it has no known address."""

_TransferKey = tuple[str, str, int]
"""Node id of the receiver, service and slot of a transfer of key records."""


class _Transfer:
    """A transfer of key records that has not been acknowledged.

    Attributes:
        receiver: Process that the records are for.
        acknowledged: Fires with the acknowledgement; fails at the timeout.
    """

    __slots__ = ("acknowledged", "receiver")

    def __init__(
        self, receiver: SlotOwner, acknowledged: "Deferred[None]"
    ) -> None:
        self.receiver = receiver
        self.acknowledged = acknowledged


class SlotService:
    """Runs the slot driver of the upstream's service and exchanges slot tables.

    Attributes:
        service: Service whose slots this node may own; empty until the
            upstream has announced itself.
    """

    __slots__ = (
        "_clock",
        "_driver",
        "_get_serving_members",
        "_key_owner",
        "_key_router",
        "_on_table_received",
        "_reactor",
        "_rng",
        "_send_frame",
        "_store",
        "_transfers",
        "_verified_incarnations",
        "service",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Clock,
        rng: random.Random,
        store: ObjectStore,
        key_owner: KeyOwner[CallResult],
        key_router: KeyRouter,
        get_serving_members: Callable[[str], Collection[SlotOwner]],
        send_frame: SendFrame,
        on_table_received: Callable[[str, bool], None],
    ) -> None:
        """Creates the service; `set_service` starts its driver.

        Args:
            reactor: Timers.
            clock: Time source.
            rng: Source of jitter.
            store: Platform store that holds the slot tables.
            key_owner: Holds the records of the keys in owned slots.
            key_router: Routes keys by the tables that it is given.
            get_serving_members: Returns the serving members of a service.
            send_frame: Sends a control frame.
            on_table_received: Called with the service of each table that was
                read or received, and whether it is a reply to a pull of this
                node.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._key_owner = key_owner
        self._key_router = key_router
        self._get_serving_members = get_serving_members
        self._send_frame = send_frame
        self._on_table_received = on_table_received
        self._driver: SlotDriver | None = None
        self._transfers: dict[_TransferKey, _Transfer] = {}
        self._verified_incarnations: dict[str, int] = {}
        self.service = ""

    def set_service(self, service: str) -> None:
        """Starts the driver that claims slots of a service.

        The driver of another service is closed. An empty name and the present
        service change nothing.
        """
        if service in ("", self.service):
            return
        if self._driver is not None:
            self._driver.close()
        self.service = service
        self._driver = SlotDriver(
            self._store,
            self._clock,
            self._rng,
            reactor=self._reactor,
            service=service,
            owner=self._key_owner,
            members=lambda: self._get_serving_members(service),
            is_missing=lambda error: isinstance(error, NotFound),
            send_records=self._send_records,
            push_table=self._push_table,
            on_table=lambda version, table: self._apply_table(
                service, version, table
            ),
        )
        self._reactor.callLater(_FIRST_CLAIM_DELAY_S, self._driver.start)

    @property
    def owned_slot_count(self) -> int:
        """Number of slots that this process owns for keys issued now."""
        if self._driver is None:
            return 0
        return self._driver.table.owned_count_at(
            self._key_owner.identity, self._clock.wall_ms()
        )

    def members_changed(self, service: str) -> None:
        """Rebalances the slots after a change of the service's members.

        Other services than the upstream's are ignored.
        """
        if self._driver is not None and service == self.service:
            self._driver.members_changed()

    def refresh_table(self) -> None:
        """Schedules a read of the slot table from the platform.

        Called when a sender may have used a newer table.
        """
        if self._driver is not None:
            self._driver.refresh()

    def replace_dead_owner(self, service: str, dead_owner: SlotOwner) -> None:
        """Replaces an owner whose process is proven to have ended.

        Args:
            service: Service of the owner; ignored unless it is the upstream's.
            dead_owner: Earlier incarnation; a newer one at the same address
                completed the handshake.
        """
        if self._driver is not None and service == self.service:
            self._driver.replace_dead_owner(dead_owner)

    def hand_over(self, drained: "Deferred[None]") -> "Deferred[bool]":
        """Hands over the slots, then the key records, at a planned stop.

        Args:
            drained: Fires when no request runs any more.

        Returns:
            Fires with whether the successors hold the slots and the records;
            without a driver, fires with True after `drained`.
        """
        done: Deferred[bool] = Deferred()
        if self._driver is None:
            drained.addCallback(lambda _: done.callback(True))
            return done
        return self._driver.leave(drained)

    def close(self) -> None:
        """Stops the driver; the slots stay granted until the grant expires."""
        if self._driver is not None:
            self._driver.close()

    def _apply_table(
        self,
        service: str,
        version: int,
        table: SlotTable,
        is_reply: bool = False,
    ) -> None:
        self._key_router.set_table(service, version, table)
        self._on_table_received(service, is_reply)

    def _push_table(
        self, member: SlotOwner, version: int, table: SlotTable
    ) -> None:
        self._send_frame(
            member.node_id,
            self._build_table_frame(self.service, version, table),
        )

    @staticmethod
    def _build_table_frame(
        service: str, version: int, table: SlotTable
    ) -> wire.Frame:
        push = wire.SlotTablePush(
            service_name=service,
            version=version,
            table=encode_slot_table(table),
        )
        return wire.Frame(slot_table_push=push)

    def answer_table_pull(self, pull: wire.SlotTablePull) -> wire.Frame | None:
        """Returns a frame with the slot table of the upstream's service.

        Returns None for another service or if no table has been read.
        """
        driver = self._driver
        if driver is None or pull.service_name != self.service:
            return None
        if driver.version < 0:
            return None
        return self._build_table_frame(
            self.service, driver.version, driver.table
        )

    def receive_table(
        self, push: wire.SlotTablePush, *, is_reply: bool
    ) -> None:
        """Applies a slot table that another node sent.

        Args:
            push: The table and its service.
            is_reply: Whether it is the reply to a pull of this node.
        """
        decoded = decode_slot_table(push.table)
        if decoded.is_error():
            _LOG.warning(
                "received slot table cannot be decoded; ignoring it",
                extra={"error": str(decoded.error)},
            )
            return
        if self._driver is not None and push.service_name == self.service:
            self._driver.receive_table(push.version, decoded.ok)
        self._apply_table(push.service_name, push.version, decoded.ok, is_reply)

    def _send_records(
        self, member: SlotOwner, records: KeyRecords[Any]
    ) -> "Deferred[None]":
        """Sends records of one slot, and fires when they are acknowledged.

        An acknowledgement names the slot and not the message. A transfer of the
        same slot to the same node therefore fails while the acknowledgement of
        an earlier one, which may have timed out, could still arrive.
        """
        acknowledged: Deferred[None] = Deferred()
        key = (member.node_id, records.service, records.slot)
        if self._has_ended(member):
            acknowledged.errback(_process_ended_error(member))
            return acknowledged
        if key in self._transfers:
            acknowledged.errback(
                ConnectionError(
                    f"{member.node_id} has not acknowledged an earlier transfer"
                )
            )
            return acknowledged
        frame = wire.Frame(key_records=_records_to_wire(records))
        if not self._send_frame(member.node_id, frame):
            acknowledged.errback(
                ConnectionError(f"{member.node_id} has no known address")
            )
            return acknowledged
        self._transfers[key] = _Transfer(member, acknowledged)
        acknowledged.addTimeout(_ACK_TIMEOUT_S, self._reactor)
        return acknowledged

    def _has_ended(self, member: SlotOwner) -> bool:
        """Returns whether a later process of a node is known."""
        verified = self._verified_incarnations.get(member.node_id, 0)
        return verified > member.incarnation

    def peer_verified(self, node_id: str, incarnation: int) -> None:
        """Fails transfers to earlier processes of a node.

        Their successor accepts the records, but is not the owner that the slot
        table names.

        Args:
            node_id: Node with which a handshake was completed.
            incarnation: Incarnation of its process.
        """
        self._verified_incarnations[node_id] = incarnation
        for transfer in list(self._transfers.values()):
            is_open = not transfer.acknowledged.called
            if is_open and self._has_ended(transfer.receiver):
                transfer.acknowledged.errback(
                    _process_ended_error(transfer.receiver)
                )

    def receive_records(self, records: wire.KeyRecords) -> wire.Frame:
        """Imports key records of a leaving owner.

        Records whose key cannot be parsed are left out.

        Returns:
            The acknowledgement to send back.
        """
        decoded = [_record_from_wire(record) for record in records.records]
        self._key_owner.import_records(
            records.service_name,
            records.slot,
            [record for record in decoded if record is not None],
        )
        ack = wire.KeyRecordsAck(
            service_name=records.service_name, slot=records.slot
        )
        return wire.Frame(key_records_ack=ack)

    def receive_records_ack(
        self, node_id: str, ack: wire.KeyRecordsAck
    ) -> None:
        """Completes the transfer of a slot's records to a node.

        An acknowledgement that belongs to no transfer, or to one that has timed
        out, completes nothing.

        Args:
            node_id: Node that sent the acknowledgement.
            ack: Names the service and the slot.
        """
        key = (node_id, ack.service_name, ack.slot)
        transfer = self._transfers.pop(key, None)
        if transfer is None or transfer.acknowledged.called:
            _LOG.info(
                "acknowledgement fits no transfer of key records; ignoring it",
                extra={"peer": node_id, "slot": ack.slot},
            )
        else:
            transfer.acknowledged.callback(None)


def _process_ended_error(member: SlotOwner) -> ConnectionError:
    return ConnectionError(f"{member} has ended; its node was restarted")


def _records_to_wire(records: KeyRecords[Any]) -> wire.KeyRecords:
    return wire.KeyRecords(
        service_name=records.service,
        slot=records.slot,
        records=[_record_to_wire(record) for record in records.records],
    )


def _record_to_wire(record: KeyRecord[CallResult]) -> wire.KeyRecord:
    result = record.answer
    answer = None
    if result is not None:
        answer = wire.Answer(
            attempt_id=0,
            status=result.status,
            headers=result.headers,
            body=result.body,
            retries_used=0,
            threshold=0,
            queue_ms=0,
            in_flight=0,
        )
    return wire.KeyRecord(
        key=str(record.key),
        digest=record.digest,
        unknown=result is None,
        answer=answer,
    )


def _record_from_wire(
    record: wire.KeyRecord,
) -> KeyRecord[CallResult] | None:
    parsed = RequestKey.parse(record.key)
    if parsed.is_error():
        return None
    answer = record.answer
    result = None if answer is None else CallResult.from_wire(answer)
    return KeyRecord(parsed.ok, record.digest, result)
