"""Member records and the rule by which a newer record supersedes an older one.

The rule is that of SWIM: records are compared by incarnation, then by version,
then by state.
"""

import dataclasses
from enum import IntEnum

MAX_PERCENT = 100
MAX_STRING_BYTES = 64  # Two records of 5 such strings fit into a datagram.


class MemberState(IntEnum):
    """State of a member in the view of a node; mirrors wire.thrift."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """Data that a member announced, and the state that others assigned to it.

    Other members change only the state.
    """

    node_id: str
    """Name of the node; stable while its process runs."""

    incarnation: int
    """Raised at every start of the node; milliseconds since the epoch."""

    state: MemberState
    """State at this incarnation and version."""

    version: int
    """Raised by the member to refute a claim about it or to change its data."""

    gossip_address: str
    """Address of its UDP socket as ip:port."""

    node_address: str
    """Address of its node listener as ip:port."""

    failure_domain: str
    """Failure domain from its settings."""

    service_name: str
    """Service of its upstream; empty until the upstream has announced it."""

    slots: int
    """Number of requests that its upstream runs concurrently."""

    serving: bool
    """Whether its upstream accepts requests."""

    draining: bool
    """Whether it is leaving and refuses new work."""

    platform_lost: bool = False
    """Whether its last call to the platform failed."""

    failure_percent: int = 0
    """Percent of the requests that its upstream fails by itself."""

    upstream_digest: int = 0
    """Digest that names the process of its upstream; 0 if none is known."""

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
        if not 0 <= self.failure_percent <= MAX_PERCENT:
            raise ValueError(
                f"member {self.node_id!r} has {self.failure_percent} percent "
                "of failures"
            )
        for value in self.string_fields():
            size = len(value.encode())
            if size > MAX_STRING_BYTES:
                raise ValueError(
                    f"member {self.node_id[:32]!r} has a string of {size} "
                    f"bytes; at most {MAX_STRING_BYTES} are allowed"
                )

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.state in LIVE_STATES

    @property
    def accepts_requests(self) -> bool:
        """Whether requests may be sent to the member."""
        return self.serving and not self.draining and self.is_live

    def precedence(self) -> tuple[int, int, int]:
        """Returns the sort key of this record among those of the member."""
        return self.incarnation, self.version, self.state

    def supersedes(self, other: "MemberRecord") -> bool:
        """Returns whether this record replaces another of the same member."""
        return self.precedence() > other.precedence()

    def with_state(self, state: MemberState) -> "MemberRecord":
        """Returns the same record in another state."""
        return dataclasses.replace(self, state=state)

    def string_fields(self) -> tuple[str, ...]:
        """Returns the fields whose encoded size varies."""
        return (
            self.node_id,
            self.gossip_address,
            self.node_address,
            self.failure_domain,
            self.service_name,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A replaced record, as reported to the owner of the view."""

    before: MemberRecord | None
    """Previous record; None if the member was unknown."""

    after: MemberRecord
    """New record."""

    @property
    def became_live(self) -> bool:
        """Whether the member joined, or is live again."""
        was_live = self.before is not None and self.before.is_live
        return self.after.is_live and not was_live

    @property
    def died_or_left(self) -> bool:
        """Whether the member died or left."""
        was_live = self.before is not None and self.before.is_live
        return was_live and not self.after.is_live
