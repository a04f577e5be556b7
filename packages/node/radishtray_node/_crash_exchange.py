"""Counts crashes at nodes and upstreams, and tells other nodes of them."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from radishtray_protocol import wire
from radishtray_state import (
    CrashSuspect,
    CrashTally,
    EndedProcesses,
    MemberRecord,
)

if TYPE_CHECKING:
    from radishtray_node._fleet import Fleet

_LOG = logging.getLogger(__name__)
_MS_PER_S = 1000.0


class CrashExchange:
    """Crash counts of this node, exchanged with the other nodes.

    Attributes:
        tally: Crash counts, by fingerprint of the request.
    """

    __slots__ = ("_ended_processes", "_fleet", "_node_id", "_send", "tally")

    def __init__(
        self,
        tally: CrashTally,
        node_id: str,
        fleet: Callable[[], "Fleet"],
        send: Callable[[str, wire.Frame], bool],
    ) -> None:
        """Starts without ended processes.

        Args:
            tally: Crash counts, by fingerprint of the request.
            node_id: Id of this node.
            fleet: Returns the view of the fleet; only called after the node's
                start.
            send: Sends a control frame to a node.
        """
        self.tally = tally
        self._node_id = node_id
        self._fleet = fleet
        self._send = send
        self._ended_processes = EndedProcesses()

    def upstream_announced(self, member: MemberRecord) -> None:
        """Retracts the crashes of earlier processes that it has survived."""
        for crash_id in self._ended_processes.announce(
            member.node_id, member.incarnation, member.upstream_digest
        ):
            self._retract(crash_id, member.node_id)

    def process_verified(self, node_id: str, incarnation: int) -> None:
        """Retracts the crash of a process that has not ended."""
        crash_id = self._ended_processes.disprove(node_id, incarnation)
        if crash_id is not None:
            self._retract(crash_id, node_id)

    def process_ended(
        self, node_id: str, calls: list[wire.Call], incarnation: int
    ) -> None:
        """Counts a crash against the calls of a node's process that has ended.

        The crash of an upstream may end the node beside it too, so that only
        the senders can count it.
        """
        crash_id = self._ended_processes.record(node_id, incarnation)
        if crash_id is None:
            return
        _LOG.warning(
            "node has ended; counting a crash against the requests that were "
            "running there",
            extra={"peer": node_id, "requests": len(calls)},
        )
        changed = self.tally.record_process_end(
            (call.context.fingerprint for call in calls), crash_id
        )
        self.announce(changed, calls[0].service_name)

    def merge(self, suspects: list[wire.CrashSuspect]) -> None:
        """Applies the entries of another node."""
        self.tally.merge(
            CrashSuspect(
                suspect.fingerprint,
                suspect.crashes,
                suspect.ttl_ms / _MS_PER_S,
                tuple(suspect.crash_ids or ()),
            )
            for suspect in suspects
        )

    def announce(self, changed: list[CrashSuspect], service: str) -> None:
        """Tells the nodes of a service, where the requests may go next.

        Gossip takes seconds to carry the entries of one crash.

        Args:
            changed: Entries that have changed.
            service: Name of the service.
        """
        if not changed:
            return
        frame = wire.Frame(
            crash_suspects=wire.CrashSuspects(
                suspects=[
                    wire.CrashSuspect(
                        fingerprint=suspect.fingerprint,
                        crashes=suspect.crashes,
                        ttl_ms=int(suspect.ttl_s * _MS_PER_S),
                        crash_ids=list(suspect.crash_ids),
                    )
                    for suspect in changed
                ]
            )
        )
        for node_id in self._fleet().live_nodes(service):
            if node_id != self._node_id:
                self._send(node_id, frame)

    def _retract(self, crash_id: int, node_id: str) -> None:
        changed = self.tally.retract(crash_id)
        _LOG.info(
            "upstream has survived what was counted as its crash; retracting",
            extra={"peer": node_id, "contents": len(changed)},
        )
        member = self._fleet().membership.get(node_id)
        if member is not None:
            self.announce(changed, member.service_name)
