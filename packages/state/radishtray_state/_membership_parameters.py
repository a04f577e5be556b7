"""Parameters of the membership protocol."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipParameters:
    """Intervals, counts and limits of the protocol; the same at every node."""

    probe_interval_s: float = 1.0
    """Seconds between two probes that a node sends."""

    ack_timeout_s: float = 0.4
    """Seconds without an ack after which indirect probes are requested.

    It is far above any round-trip time.
    """

    indirect_probes: int = 3
    """Members that are asked to probe a target that did not answer."""

    suspicion_factor: float = 1.5
    """A suspicion lasts factor * log2(members + 1) probe intervals.

    A claim takes about log3(members) rounds to reach the suspected member, and
    the refutation takes as many to come back.
    """

    min_suspicion_s: float = 3.0
    """Minimum duration of a suspicion in seconds."""

    transmit_factor: float = 3.0
    """Each record is sent factor * log2(members + 1) times."""

    urgent_pushes: int = 3
    """Members to which a node sends its own changes and generations at once."""

    digest_interval_s: float = 10.0
    """Seconds between two digest exchanges while views agree."""

    catch_up_interval_s: float = 0.5
    """Seconds between two digest exchanges after a difference was found."""

    repair_datagrams_per_s: float = 2.0
    """Rate limit of repair datagrams that carry records.

    It bounds the load when a partition heals.
    """

    repair_burst_datagrams: int = 8
    """Burst size of both rate limits for repair datagrams.

    A starting node queries two peers per second and receives a part of the
    burst of each.
    """

    repair_summaries_per_s: float = 6.0
    """Rate limit of digest summaries sent in answer; up to 5 per exchange.

    Summaries have a limit of their own: a starting node has few records to
    send, and with a shared limit these would use up the tokens that its
    summaries need.
    """

    dead_probe_interval_s: float = 10.0
    """Seconds between two probes of dead members; each probes one of them."""

    dead_retention_s: float = 7200.0
    """Seconds for which records of dead and departed members are kept."""

    pause_threshold_s: float = 2.0
    """Seconds between two ticks from which the process counts as paused."""

    max_datagram_bytes: int = 1400
    """Maximum size of a datagram, including the envelope."""

    envelope_bytes: int = 66
    """Bytes reserved for key id and tag: 1 + 1 + 32 + 32."""

    def __post_init__(self) -> None:
        """Validates the fields.

        Raises:
            ValueError: If a parameter is not positive, or the ack timeout is
                not shorter than the probe interval.
        """
        for field in dataclasses.fields(self):
            if getattr(self, field.name) <= 0:
                raise ValueError(f"{field.name} must be positive")
        if self.ack_timeout_s >= self.probe_interval_s:
            raise ValueError(
                f"ack_timeout_s {self.ack_timeout_s} must be shorter than "
                f"probe_interval_s {self.probe_interval_s}"
            )

    def suspicion_timeout_s(self, live_count: int) -> float:
        """Returns the duration of a suspicion at a number of live members."""
        rounds = self.suspicion_factor * math.log2(live_count + 1)
        return max(self.min_suspicion_s, rounds * self.probe_interval_s)
