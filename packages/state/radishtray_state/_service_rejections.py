"""How often the upstreams of each service reject the requests of one node.

If the upstreams of a service reject requests alike, another one rejects a
repeated request with the same probability. How often one upstream rejects says
nothing about the others.
"""

from radishtray_state._clock import Clock
from radishtray_state._decaying_share import DecayingShare

_TIME_CONSTANT_S = 1.0
_WIDESPREAD_SHARE = 0.3
# Less than one, since an outcome decays while the next one is waited for.
_MIN_OUTCOMES = 0.9
# Outcomes of a node whose decayed count is below this are dropped.
_NEGLIGIBLE_OUTCOMES = 0.01


class ServiceRejections:
    """Counts answers and rejections by service and node, weighted by age."""

    __slots__ = ("_clock", "_shares")

    def __init__(self, clock: Clock) -> None:
        """Starts without outcomes.

        Args:
            clock: Time source.
        """
        self._clock = clock
        self._shares: dict[str, dict[str, DecayingShare]] = {}

    def record(self, service: str, node_id: str, *, is_rejected: bool) -> None:
        """Records whether an upstream rejected a request.

        Args:
            service: Service of the upstream.
            node_id: Node beside the upstream.
            is_rejected: Whether it stated that it had not run the request.
        """
        shares = self._shares.setdefault(service, {})
        share = shares.get(node_id)
        if share is None:
            _drop_negligible(shares)
            share = DecayingShare(self._clock, _TIME_CONSTANT_S)
            shares[node_id] = share
        share.record(is_hit=is_rejected)

    def is_widespread(self, service: str, node_id: str) -> bool:
        """Returns whether the other upstreams of a service reject as well.

        Args:
            service: Service of the upstreams.
            node_id: Node beside the upstream that rejected a request.
        """
        others = [
            share
            for other, share in self._shares.get(service, {}).items()
            if other != node_id
        ]
        total = sum(share.total for share in others)
        hits = sum(share.hits for share in others)
        return total >= _MIN_OUTCOMES and hits >= _WIDESPREAD_SHARE * total


def _drop_negligible(shares: dict[str, DecayingShare]) -> None:
    """Drops nodes without recent outcomes, which may have left for good."""
    for node_id, share in list(shares.items()):
        if share.total < _NEGLIGIBLE_OUTCOMES:
            del shares[node_id]
