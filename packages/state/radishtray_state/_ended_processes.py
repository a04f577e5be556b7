"""Node processes that ended while requests ran at the upstreams beside them.

A request that crashes its upstream may end the node beside it as well. The
nodes that sent the requests then count the end of the node's process as a crash
of its upstream, until the next process of the node announces that the upstream
has survived.
"""

import hashlib
from collections import OrderedDict

_MAX_NODES = 4096
_MAX_PROCESSES_PER_NODE = 4
_DIGEST_BYTES = 8


def digest_63_bits(text: str) -> int:
    """Returns a positive 63-bit digest of a text.

    >>> digest_63_bits("a") == digest_63_bits("b")
    False
    """
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return max(1, int.from_bytes(digest, "big") >> 1)


class _Node:
    """Processes of one node.

    Attributes:
        upstreams: Digest of the last upstream beside each process, by
            incarnation.
        crash_ids: Crash ids of the processes that have ended and were not
            followed by an announcement, by incarnation.
    """

    __slots__ = ("crash_ids", "upstreams")

    def __init__(self) -> None:
        self.upstreams: OrderedDict[int, int] = OrderedDict()
        self.crash_ids: dict[int, int] = {}


class EndedProcesses:
    """Crash ids of node processes that have ended.

    All nodes derive the same id for the same process, so that the reports of
    several senders count as one crash.
    """

    __slots__ = ("_nodes",)

    def __init__(self) -> None:
        """Creates an empty record."""
        self._nodes: OrderedDict[str, _Node] = OrderedDict()

    def announce(
        self, node_id: str, incarnation: int, upstream_digest: int
    ) -> list[int]:
        """Records the upstream beside a process.

        Args:
            node_id: Id of the node.
            incarnation: Incarnation of its process.
            upstream_digest: Names the upstream.

        Returns:
            The ids of crashes that were none, because the upstream has survived
            the end of the earlier process.
        """
        node = self._nodes.setdefault(node_id, _Node())
        self._nodes.move_to_end(node_id)
        if len(self._nodes) > _MAX_NODES:
            self._nodes.popitem(last=False)
        node.upstreams[incarnation] = upstream_digest
        if len(node.upstreams) > _MAX_PROCESSES_PER_NODE:
            oldest, _ = node.upstreams.popitem(last=False)
            node.crash_ids.pop(oldest, None)
        survived = []
        for ended in [i for i in node.crash_ids if i < incarnation]:
            crash_id = node.crash_ids.pop(ended)
            if node.upstreams.get(ended) == upstream_digest:
                survived.append(crash_id)
        return survived

    def record(self, node_id: str, incarnation: int) -> int | None:
        """Records that a process has ended.

        Args:
            node_id: Id of the node.
            incarnation: Incarnation of the process.

        Returns:
            The id of the crash; None if the upstream beside the process is not
            known, or is known to have survived.
        """
        node = self._nodes.get(node_id)
        if node is None or incarnation not in node.upstreams:
            return None
        digest = node.upstreams[incarnation]
        later = [d for i, d in node.upstreams.items() if i > incarnation]
        if digest in later:
            return None
        crash_id = digest_63_bits(f"{node_id} {incarnation}")
        if not later:
            node.crash_ids[incarnation] = crash_id
        return crash_id

    def disprove(self, node_id: str, incarnation: int) -> int | None:
        """Returns the crash id of a process that turns out to be running.

        A connection may also be refused on the way to a node.

        Args:
            node_id: Id of the node.
            incarnation: Incarnation of its process.
        """
        node = self._nodes.get(node_id)
        return None if node is None else node.crash_ids.pop(incarnation, None)
