"""Records of members and the order in which they supersede each other."""

import dataclasses
from enum import IntEnum

MAX_TEXT_BYTES = 64  # Two records of 5 texts always fit into a datagram.


class MemberState(IntEnum):
    """What a node believes about a member; mirrors wire.thrift."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member as announced by itself, with the state others gave it."""

    node_id: str
    """Name of the node; stable while its process runs."""

    incarnation: int
    """Raised by every start of the node; milliseconds since the epoch."""

    state: MemberState
    """State at this incarnation and version."""

    version: int
    """Raised by the member itself to refute a claim or to change its data."""

    gossip_address: str
    """Address of its UDP socket as ip:port."""

    node_address: str
    """Address of its node listener as ip:port."""

    failure_domain: str
    """Failure domain from its settings."""

    service_name: str
    """Service of its upstream; empty before the upstream announced itself."""

    slots: int
    """Concurrent requests that its upstream runs."""

    serving: bool
    """Whether its upstream accepts requests."""

    draining: bool
    """Whether it is leaving and refuses new work."""

    def __post_init__(self) -> None:
        """Validates the fields.

        Raises:
            ValueError: If a field is out of its range.
        """
        if not self.node_id:
            raise ValueError("node_id must not be empty")
        if min(self.incarnation, self.version, self.slots) < 0:
            raise ValueError(
                f"member {self.node_id!r} has a negative incarnation, "
                "version or number of slots"
            )
        for text in self.texts():
            size = len(text.encode())
            if size > MAX_TEXT_BYTES:
                raise ValueError(
                    f"member {self.node_id[:32]!r} has a text of {size} "
                    f"bytes; at most {MAX_TEXT_BYTES} are allowed"
                )

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or only suspected."""
        return self.state in LIVE_STATES

    @property
    def takes_requests(self) -> bool:
        """Whether requests may be sent to the member."""
        return self.serving and not self.draining and self.is_live

    def rank(self) -> tuple[int, int, int]:
        """Returns the key by which records of one member are ordered."""
        return self.incarnation, self.version, self.state

    def supersedes(self, other: "MemberRecord") -> bool:
        """Returns whether this record replaces the other one."""
        return self.rank() > other.rank()

    def with_state(self, state: MemberState) -> "MemberRecord":
        """Returns the same record in another state."""
        return dataclasses.replace(self, state=state)

    def texts(self) -> tuple[str, ...]:
        """Returns the fields of variable length."""
        return (
            self.node_id,
            self.gossip_address,
            self.node_address,
            self.failure_domain,
            self.service_name,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of the view, as told to its owner."""

    before: MemberRecord | None
    """Previous record; None if the member was unknown."""

    after: MemberRecord
    """Record from now on."""

    @property
    def became_live(self) -> bool:
        """Whether the member joined or came back."""
        was_live = self.before is not None and self.before.is_live
        return self.after.is_live and not was_live

    @property
    def became_gone(self) -> bool:
        """Whether the member died or left."""
        was_live = self.before is not None and self.before.is_live
        return was_live and not self.after.is_live
