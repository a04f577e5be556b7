"""Asks the owners of allotments for tokens, and answers other nodes."""

import hashlib
from collections.abc import Callable, Sequence

from radishtray_node._timers import Timer, TimerWheel
from radishtray_organisations import AllotmentLeases, AllotmentOwner, Grant
from radishtray_protocol import wire
from radishtray_state import Clock

_ANSWER_TIMEOUT_S = 0.15
# A node that has not answered or grants nothing is asked again after this time.
_SILENCE_S = 1.0
_MAX_OWNERS_ASKED = 3
_MS_PER_S = 1000.0


class _TokenRequest:
    __slots__ = ("asked_at_s", "name", "others", "owner", "requests", "timer")

    def __init__(
        self, name: str, requests: int, owners: Sequence[str], now_s: float
    ) -> None:
        self.name = name
        self.requests = requests
        self.owner = owners[0]
        self.others = tuple(owners[1:])
        self.asked_at_s = now_s
        self.timer: Timer | None = None


class AllotmentDriver:
    """Finds the owner of an organisation's allotment and exchanges frames.

    All nodes order the same few candidates by a hash of candidate and
    organisation; the first one that answers owns the allotment.

    Attributes:
        leases: The tokens that this node holds; set by the owner of the object.
    """

    __slots__ = (
        "_candidates",
        "_clock",
        "_node_id",
        "_owner",
        "_pending",
        "_send",
        "_sequence",
        "_silent_until_s",
        "_timers",
        "leases",
    )

    def __init__(
        self,
        clock: Clock,
        timers: TimerWheel,
        node_id: str,
        owner: AllotmentOwner,
        candidates: Callable[[], Sequence[str]],
        send: Callable[[str, wire.Frame], bool],
    ) -> None:
        """Creates a driver without requests.

        Args:
            clock: Time source.
            timers: Timers of requests.
            node_id: Id of this node.
            owner: Grants tokens of the allotments that this node owns.
            candidates: Returns the nodes that may own allotments.
            send: Sends a control frame to a node.
        """
        self.leases = AllotmentLeases(clock, self._request)
        self._clock = clock
        self._timers = timers
        self._node_id = node_id
        self._owner = owner
        self._candidates = candidates
        self._send = send
        self._sequence = 0
        self._pending: dict[int, _TokenRequest] = {}
        self._silent_until_s: dict[str, float] = {}

    def _owners(self, name: str) -> list[str]:
        """Returns the candidates in the order in which they own a name."""
        now_s = self._clock.monotonic()
        ordered = sorted(
            self._candidates(), key=lambda node: _ownership_hash(name, node)
        )
        responsive = [
            node
            for node in ordered
            if self._silent_until_s.get(node, 0.0) <= now_s
        ]
        return (responsive or ordered)[:_MAX_OWNERS_ASKED]

    def _request(self, name: str, requests: int) -> None:
        owners = self._owners(name) or [self._node_id]
        self._ask(
            _TokenRequest(name, requests, owners, self._clock.monotonic())
        )

    def _ask(self, request: _TokenRequest) -> None:
        if request.owner == self._node_id:
            grant = self._owner.grant(request.name, request.requests)
            if grant is None:
                self._pass_over(request)
            else:
                self.leases.apply_grant(request.name, grant, request.asked_at_s)
            return
        self._sequence += 1
        sequence = self._sequence
        self._pending[sequence] = request
        request.timer = self._timers.call_later(
            _ANSWER_TIMEOUT_S, lambda: self._on_timeout(sequence)
        )
        share = wire.AllotmentShare(
            organisation=request.name, requests=request.requests
        )
        self._send(
            request.owner,
            wire.Frame(
                allotment_request=wire.AllotmentRequest(
                    sequence=sequence, shares=[share]
                )
            ),
        )

    def _on_timeout(self, sequence: int) -> None:
        request = self._pending.pop(sequence, None)
        if request is None:
            return
        self._pass_over(request)

    def _pass_over(self, request: _TokenRequest) -> None:
        """Asks the next candidate, and does not ask this one for a while."""
        now_s = self._clock.monotonic()
        self._silent_until_s[request.owner] = now_s + _SILENCE_S
        if not request.others:
            self.leases.apply_failure(request.name)
            return
        self._ask(
            _TokenRequest(
                request.name,
                request.requests,
                request.others,
                self._clock.monotonic(),
            )
        )

    def answer(self, request: wire.AllotmentRequest) -> wire.Frame:
        """Returns the grant for another node's request."""
        shares = []
        for share in request.shares:
            grant = self._owner.grant(share.organisation, share.requests)
            if grant is not None:
                shares.append(
                    wire.AllotmentShare(
                        organisation=share.organisation,
                        requests=grant.requests,
                        regular=grant.regular,
                        retry_ms=round(grant.retry_s * _MS_PER_S),
                    )
                )
        return wire.Frame(
            allotment_grant=wire.AllotmentGrant(
                sequence=request.sequence, shares=shares
            )
        )

    def handle_grant(self, granted: wire.AllotmentGrant) -> None:
        """Applies an owner's grant; one that comes too late is dropped."""
        request = self._pending.pop(granted.sequence, None)
        if request is None:
            return
        if request.timer is not None:
            request.timer.cancel()
        for share in granted.shares:
            if share.organisation == request.name:
                grant = Grant(
                    share.requests,
                    share.regular or 0,
                    (share.retry_ms or 0) / _MS_PER_S,
                )
                self._silent_until_s.pop(request.owner, None)
                self.leases.apply_grant(request.name, grant, request.asked_at_s)
                return
        # The node has just started, or its configuration does not hold this
        # allotment.
        self._pass_over(request)

    def tick(self) -> None:
        """Detects pauses of the process and drops what is no longer needed."""
        self._owner.tick()
        self.leases.drop_idle()
        now_s = self._clock.monotonic()
        self._silent_until_s = {
            node: until_s
            for node, until_s in self._silent_until_s.items()
            if until_s > now_s
        }


def _ownership_hash(name: str, node_id: str) -> bytes:
    text = f"{name}\0{node_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
