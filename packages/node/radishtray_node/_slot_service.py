"""At-most-once key slots of this node's service, and tables of others."""

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
# Nodes that start together first learn of one another; the first of them would
# else claim every slot, and giving slots back takes two minutes.
_FIRST_CLAIM_DELAY_S = 2.0

SendFrame = Callable[[str, wire.Frame], bool]
"""Sends a control frame to a node id; False if it has no known address."""


class SlotService:
    """Runs the slot driver of the own service and exchanges tables.

    Attributes:
        service: Service whose slots this node may own; empty before the
            upstream announced itself.
    """

    __slots__ = (
        "_acks",
        "_clock",
        "_driver",
        "_members",
        "_on_received",
        "_owner",
        "_reactor",
        "_rng",
        "_router",
        "_send",
        "_store",
        "service",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Clock,
        rng: random.Random,
        store: ObjectStore,
        owner: KeyOwner[CallResult],
        router: KeyRouter,
        members: Callable[[str], Collection[SlotOwner]],
        send: SendFrame,
        on_received: Callable[[str, bool], None],
    ) -> None:
        """Joins what the service needs.

        Args:
            reactor: Timers.
            clock: Time source.
            rng: Source of jitter.
            store: The platform's objects.
            owner: At-most-once records.
            router: Gets the tables for routing.
            members: Returns the serving members of a service.
            send: Sends a control frame.
            on_received: Called with the service of each received table, and
                whether this node had asked for it.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._owner = owner
        self._router = router
        self._members = members
        self._send = send
        self._on_received = on_received
        self._driver: SlotDriver | None = None
        self._acks: dict[tuple[str, int], list[Deferred[None]]] = {}
        self.service = ""

    def serve(self, service: str) -> None:
        """Starts owning slots of a service."""
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
            owner=self._owner,
            members=lambda: self._members(service),
            is_missing=lambda error: isinstance(error, NotFound),
            send_records=self._send_records,
            push_table=self._push_table,
            on_table=lambda version, table: self._use(service, version, table),
        )
        self._reactor.callLater(_FIRST_CLAIM_DELAY_S, self._driver.start)

    @property
    def owned_count(self) -> int:
        """Slots that this process owns for keys issued now."""
        if self._driver is None:
            return 0
        return self._driver.table.owned_now(
            self._owner.me, self._clock.wall_ms()
        )

    def members_changed(self, service: str) -> None:
        """Lets the driver balance slots over the present members."""
        if self._driver is not None and service == self.service:
            self._driver.members_changed()

    def refresh(self) -> None:
        """Reads the table soon, because a sender may know a newer one."""
        if self._driver is not None:
            self._driver.refresh()

    def proven_dead(self, service: str, owner: SlotOwner) -> None:
        """Notes that a newer process answers in place of an owner."""
        if self._driver is not None and service == self.service:
            self._driver.replace_dead_owner(owner)

    def leave(self, drained: "Deferred[None]") -> "Deferred[bool]":
        """Hands over slots and records at a planned stop."""
        done: Deferred[bool] = Deferred()
        if self._driver is None:
            drained.addCallback(lambda _: done.callback(True))
            return done
        return self._driver.leave(drained)

    def close(self) -> None:
        """Stops the driver; slots stay granted until their horizon."""
        if self._driver is not None:
            self._driver.close()

    def _use(
        self,
        service: str,
        version: int,
        table: SlotTable,
        is_reply: bool = False,
    ) -> None:
        self._router.set_table(service, version, table)
        self._on_received(service, is_reply)

    def _push_table(
        self, member: SlotOwner, version: int, table: SlotTable
    ) -> None:
        self._send(
            member.node_id, self._table_frame(self.service, version, table)
        )

    @staticmethod
    def _table_frame(
        service: str, version: int, table: SlotTable
    ) -> wire.Frame:
        push = wire.SlotTablePush(
            service_name=service,
            version=version,
            table=encode_slot_table(table),
        )
        return wire.Frame(slot_table_push=push)

    def table_reply(self, pull: wire.SlotTablePull) -> wire.Frame | None:
        """Returns the reply to a pull, or None if there is no table."""
        driver = self._driver
        if driver is None or pull.service_name != self.service:
            return None
        if driver.version < 0:
            return None
        return self._table_frame(self.service, driver.version, driver.table)

    def table_received(
        self, push: wire.SlotTablePush, *, is_reply: bool
    ) -> None:
        """Takes a table.

        Args:
            push: The table.
            is_reply: Whether this node had asked for it.
        """
        decoded = decode_slot_table(push.table)
        if decoded.is_error():
            _LOG.warning(
                "slot table cannot be read", extra={"error": str(decoded.error)}
            )
            return
        if self._driver is not None and push.service_name == self.service:
            self._driver.receive_table(push.version, decoded.ok)
        self._use(push.service_name, push.version, decoded.ok, is_reply)

    def _send_records(
        self, member: SlotOwner, records: KeyRecords[Any]
    ) -> "Deferred[None]":
        done: Deferred[None] = Deferred()
        frame = wire.Frame(key_records=_records_to_wire(records))
        if not self._send(member.node_id, frame):
            done.errback(ConnectionError(f"{member.node_id} has no address"))
            return done
        waiting = self._acks.setdefault((records.service, records.slot), [])
        waiting.append(done)
        done.addTimeout(_ACK_TIMEOUT_S, self._reactor)
        return done

    def records_received(self, records: wire.KeyRecords) -> wire.Frame:
        """Takes records of a leaving owner and returns the reply."""
        moved = [_record_from_wire(record) for record in records.records]
        self._owner.import_records(
            records.service_name,
            records.slot,
            [record for record in moved if record is not None],
        )
        ack = wire.KeyRecordsAck(
            service_name=records.service_name, slot=records.slot
        )
        return wire.Frame(key_records_ack=ack)

    def records_acknowledged(self, ack: wire.KeyRecordsAck) -> None:
        """Notes that a successor has taken records."""
        waiting = self._acks.get((ack.service_name, ack.slot), [])
        while waiting:
            done = waiting.pop(0)
            if not done.called:
                done.callback(None)
                return


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
