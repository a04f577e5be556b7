"""Parameters of the membership protocol."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipParameters:
    """Intervals, counts and bounds; the same at every node."""

    probe_interval_s: float = 1.0
    """Seconds between two probes of a node."""

    ack_timeout_s: float = 0.4
    """Seconds until the indirect probes; far above any round trip."""

    indirect_probes: int = 3
    """Members asked to probe in place of the node."""

    suspicion_factor: float = 1.5
    """A suspicion lasts factor * log2(members) probe intervals.

    A claim needs about log3(members) rounds to reach its subject and as many
    for the refutation to come back.
    """

    min_suspicion_s: float = 3.0
    """Shortest suspicion in seconds."""

    transmit_factor: float = 3.0
    """Each record is sent factor * log2(members) times."""

    urgent_pushes: int = 3
    """Members that get the own change or a new generation at once."""

    digest_interval_s: float = 10.0
    """Seconds between two digest exchanges once views agree."""

    catch_up_interval_s: float = 0.5
    """Seconds between two digest exchanges while differences are seen."""

    repair_datagrams_per_s: float = 2.0
    """Rate of datagrams with records; bounds the load after a partition."""

    repair_burst: int = 8
    """Datagrams with records that may be sent at once.

    A starting node asks two peers per second and receives a part of this.
    """

    repair_summaries_per_s: float = 6.0
    """Rate of digests sent in answer; an exchange takes up to 5 of them.

    They have their own bound, because a starting node sends few records and
    would otherwise spend on them what its answers need.
    """

    dead_probe_interval_s: float = 10.0
    """Seconds between two probes of dead members."""

    dead_retention_s: float = 7200.0
    """Seconds for which dead members are kept and probed."""

    stall_s: float = 2.0
    """A gap between ticks from which the node counts as having been paused."""

    max_datagram_bytes: int = 1400
    """Bound of a datagram, including the envelope."""

    envelope_bytes: int = 66
    """Room for key id and tag: 1 + 1 + 32 + 32 bytes."""

    def __post_init__(self) -> None:
        """Validates the fields.

        Raises:
            ValueError: If a duration is not positive or a bound too small.
        """
        for field in dataclasses.fields(self):
            if getattr(self, field.name) <= 0:
                raise ValueError(f"{field.name} must be positive")
        if self.ack_timeout_s >= self.probe_interval_s:
            raise ValueError(
                f"ack_timeout_s {self.ack_timeout_s} must be shorter than "
                f"probe_interval_s {self.probe_interval_s}"
            )

    def suspicion_s(self, members: int) -> float:
        """Returns how long a suspicion lasts among that many live members."""
        rounds = self.suspicion_factor * math.log2(members + 1)
        return max(self.min_suspicion_s, rounds * self.probe_interval_s)
