"""What a request of a route needs of services that are short of capacity.

The node beside an upstream states the time for which a run has held a slot
there, together with what the answers to the run's own calls state. The sums
reach the node at which the chain began, which estimates the cost of a route
from them.

A service is stated only while its slots are at least half busy. So answers get
no longer at low load, and services that hold slots only to wait for their own
calls are not taken for scarce ones.
"""

from collections.abc import Iterable, Mapping, MutableMapping, Sequence
from math import exp, inf, sqrt
from typing import NamedTuple

from radishtray_state import Clock

STATED_FILL_PERCENT = 50
# Services in one answer. Call trees with more scarce services are not expected;
# the bound limits the size of answers and of the tables made from them.
MAX_SERVICES = 8
_MAX_ROUTES = 256
_FILL_TIME_CONSTANT_S = 0.2
_COST_TIME_CONSTANT_S = 10.0
# Weight of an answer in the mean, if the previous ones are recent.
_MIN_GAIN = 0.05
# Time without any answer of a route, or of a service, after which what is known
# of it is dropped.
_ROUTE_TTL_S = 10.0
_FILL_TTL_S = 3.0
# Time for which a cost is kept while answers arrive that do not state it. Peaks
# come every 13 s on the busiest deployment, and in between the service is less
# than half busy.
_STATEMENT_TTL_S = 60.0
# An answer that does not state a service counts as no use of it only if the
# service was above this fill before and after it, by answers with at most this
# gap. Upstreams of a service are filled unevenly, and one that is less than
# half busy is not stated although the request ran there.
_CERTAIN_FILL_PERCENT = 75
_CERTAIN_GAP_S = 1.0
_MIN_OBSERVATIONS = 2
# Bounds the work of one answer.
_MAX_ABSENCES = 16
_MAX_SLOT_US = 600_000_000
_MAX_PERCENT = 100


class ServiceUse(NamedTuple):
    """Use of one service by a request and the calls made for it.

    Attributes:
        service: Name of the service.
        slot_us: Time in slots of the service, in microseconds.
        fill_percent: Busy share of the slots of the service, in percent.
    """

    service: str
    slot_us: int
    fill_percent: int


UseTotals = MutableMapping[str, tuple[int, int]]
"""Slot time in microseconds and highest fill in percent, by service."""


def add_uses(totals: UseTotals, uses: Iterable[ServiceUse]) -> None:
    """Adds uses to totals, which hold at most `MAX_SERVICES` services."""
    for service, slot_us, fill_percent in uses:
        known_us, known_percent = totals.get(service, (0, 0))
        if known_percent or len(totals) < MAX_SERVICES:
            totals[service] = (
                min(known_us + max(slot_us, 0), _MAX_SLOT_US),
                min(max(known_percent, fill_percent, 1), _MAX_PERCENT),
            )


class SlotFill:
    """Busy share of the slots of one upstream, averaged over 0.2 s.

    A single sample would state a service in some answers and omit it in others
    while its load is near the limit.
    """

    __slots__ = ("_clock", "_share", "_updated_at_s")

    def __init__(self, clock: Clock) -> None:
        """Starts with idle slots.

        Args:
            clock: Time source.
        """
        self._clock = clock
        self._share = 0.0
        self._updated_at_s = clock.monotonic()

    def update(self, in_flight: int, slots: int) -> int:
        """Adds a sample and returns the average in percent.

        Args:
            in_flight: Requests that hold a slot.
            slots: Slots of the upstream.
        """
        now_s = self._clock.monotonic()
        gain = 1 - exp((self._updated_at_s - now_s) / _FILL_TIME_CONSTANT_S)
        self._updated_at_s = now_s
        sample = min(1.0, in_flight / slots) if slots > 0 else 0.0
        self._share += gain * (sample - self._share)
        return round(self._share * _MAX_PERCENT)


def run_uses(
    totals: Mapping[str, tuple[int, int]] | None,
    service: str,
    slot_s: float,
    fill_percent: int,
) -> tuple[ServiceUse, ...]:
    """Returns what the answer to a run states.

    Args:
        totals: What the answers to the run's own calls stated.
        service: Service of the upstream that ran the request.
        slot_s: Seconds for which the run held a slot.
        fill_percent: Busy share of the slots there.
    """
    if fill_percent < STATED_FILL_PERCENT:
        if not totals:
            return ()
        return tuple(ServiceUse(name, *use) for name, use in totals.items())
    sums = dict(totals or ())
    own = ServiceUse(service, int(slot_s * 1e6), fill_percent)
    add_uses(sums, (own,))
    return tuple(ServiceUse(name, *use) for name, use in sums.items())


class RouteCost:
    """Slot time that requests of one route take of one service.

    Attributes:
        mean_s: Mean in seconds, weighted by age.
        variance: Variance in square seconds, weighted by age.
        observations: Number of observations, without weights.
        stated_at_s: Monotonic time at which an answer last stated it.
        is_complete: Whether it comes from answers of a nearly full service. At
            a lower fill, some calls of a tree are stated and others not, so
            that such answers count only as long as there are no others.
    """

    __slots__ = (
        "_updated_at_s",
        "_weight",
        "is_complete",
        "mean_s",
        "observations",
        "stated_at_s",
        "variance",
    )

    def __init__(self, now_s: float) -> None:
        """Starts without observations."""
        self.mean_s = 0.0
        self.variance = 0.0
        self.observations = 0
        self._weight = 0.0
        self.is_complete = False
        self.stated_at_s = now_s
        self._updated_at_s = now_s

    @property
    def is_known(self) -> bool:
        """Whether there are enough observations to compare routes by it."""
        return self.is_complete or self.observations >= _MIN_OBSERVATIONS

    @property
    def deviation_s(self) -> float:
        """Standard deviation in seconds."""
        return sqrt(self.variance)

    def add(self, now_s: float, slot_s: float) -> None:
        """Adds an observation."""
        decay = exp((self._updated_at_s - now_s) / _COST_TIME_CONSTANT_S)
        self._updated_at_s = now_s
        self.observations += 1
        self._weight = self._weight * decay + 1.0
        gain = max(_MIN_GAIN, 1.0 / self._weight)
        difference = slot_s - self.mean_s
        self.mean_s += gain * difference
        self.variance = (1 - gain) * (
            self.variance + gain * difference * difference
        )


class _ScarceService:
    """What answers have stated of the fill of a service."""

    __slots__ = ("_certain_at_s", "_certain_since_s", "percent", "stated_at_s")

    def __init__(self) -> None:
        self.percent = 0
        self.stated_at_s = -inf
        self._certain_since_s = inf
        self._certain_at_s = -inf

    def update(self, now_s: float, percent: int) -> None:
        self.percent = min(max(percent, 0), _MAX_PERCENT)
        self.stated_at_s = now_s
        if self.percent < _CERTAIN_FILL_PERCENT:
            self._certain_since_s = inf
            return
        if now_s - self._certain_at_s > _CERTAIN_GAP_S:
            self._certain_since_s = now_s
        self._certain_since_s = min(self._certain_since_s, now_s)
        self._certain_at_s = now_s

    def may_be_full(self, now_s: float) -> bool:
        """Returns whether the last statement of a full service is recent."""
        return (
            self._certain_since_s <= now_s
            and now_s - self._certain_at_s <= _CERTAIN_GAP_S
        )

    def was_full(self, at_s: float, now_s: float) -> bool | None:
        """Returns whether the service was full before and after a time.

        None if that is not known yet.
        """
        if self._certain_since_s > at_s:
            return False
        if self._certain_at_s > at_s:
            return True
        return None if now_s - at_s <= _CERTAIN_GAP_S else False


class _RouteRecord:
    __slots__ = ("absences", "answered_at_s", "costs", "free_answers")

    def __init__(self) -> None:
        self.answered_at_s = 0.0
        self.costs: dict[str, RouteCost] = {}
        # Answers that did not state a service: time of the first and number.
        self.absences: dict[str, tuple[float, int]] = {}
        # Such answers while the service was full, of a route without costs.
        self.free_answers = 0


class RouteCosts:
    """Costs of routes and fill of scarce services, as seen at one entry node.

    All of it is learned from answers and expires without them.
    """

    __slots__ = ("_clock", "_routes", "_services")

    def __init__(self, clock: Clock) -> None:
        """Starts without knowledge.

        Args:
            clock: Time source.
        """
        self._clock = clock
        self._routes: dict[str, _RouteRecord] = {}
        self._services: dict[str, _ScarceService] = {}

    def record(self, route: str, uses: Sequence[ServiceUse]) -> None:
        """Records the answer to a first request that an upstream served.

        Args:
            route: Route of the request.
            uses: What the answer stated.
        """
        if not uses and not self._services:
            return
        now_s = self._clock.monotonic()
        record = self._routes.get(route) or self._add_route(route, now_s)
        if record is None:
            return
        record.answered_at_s = now_s
        if record.absences:
            self._settle_absences(record, now_s)
        for service, slot_us, fill_percent in uses:
            if self._record_fill(service, fill_percent, now_s):
                cost = record.costs.get(service)
                if cost is None:
                    cost = record.costs[service] = RouteCost(now_s)
                    record.free_answers = 0
                cost.stated_at_s = now_s
                is_complete = fill_percent >= _CERTAIN_FILL_PERCENT
                if is_complete or not cost.is_complete:
                    cost.is_complete = is_complete
                    cost.add(now_s, min(slot_us, _MAX_SLOT_US) / 1e6)
        stated = {use.service for use in uses}
        for service, known in self._services.items():
            if service not in stated and known.may_be_full(now_s):
                since_s, count = record.absences.get(service, (now_s, 0))
                record.absences[service] = (since_s, count + 1)

    def _settle_absences(self, record: _RouteRecord, now_s: float) -> None:
        """Counts answers without a service that was full meanwhile as no use.

        The last answers before the load falls do not state the service either,
        but no later one shows that it was still full.
        """
        for service, (since_s, count) in list(record.absences.items()):
            known = self._services.get(service)
            was_full = known is not None and known.was_full(since_s, now_s)
            if was_full is None:
                continue
            del record.absences[service]
            if not was_full:
                continue
            cost = record.costs.get(service)
            if cost is not None:
                for _ in range(min(count, _MAX_ABSENCES)):
                    cost.add(now_s, 0.0)
            elif not record.costs:
                record.free_answers += count

    def _add_route(self, route: str, now_s: float) -> _RouteRecord | None:
        if len(self._routes) >= _MAX_ROUTES:
            oldest = min(
                self._routes, key=lambda r: self._routes[r].answered_at_s
            )
            if now_s - self._routes[oldest].answered_at_s < _ROUTE_TTL_S:
                return None
            del self._routes[oldest]
        record = self._routes[route] = _RouteRecord()
        return record

    def _record_fill(self, service: str, percent: int, now_s: float) -> bool:
        """Records a fill; returns False if the service is beyond the bound."""
        services = self._services
        known = services.get(service)
        if known is None:
            if len(services) >= MAX_SERVICES:
                self._forget_silent_services(now_s)
                if len(services) >= MAX_SERVICES:
                    return False
            known = services[service] = _ScarceService()
        known.update(now_s, percent)
        return True

    def _forget_silent_services(self, now_s: float) -> None:
        for service, known in list(self._services.items()):
            if now_s - known.stated_at_s > _FILL_TTL_S:
                del self._services[service]
                for record in self._routes.values():
                    record.costs.pop(service, None)

    def forget(self, route: str) -> None:
        """Forgets a route whose configuration has changed."""
        self._routes.pop(route, None)

    def fills(self) -> dict[str, int]:
        """Returns the known fill of each service, in percent."""
        now_s = self._clock.monotonic()
        return {
            service: known.percent
            for service, known in self._services.items()
            if now_s - known.stated_at_s <= _FILL_TTL_S
        }

    def costs(self) -> dict[str, dict[str, RouteCost]]:
        """Returns the costs of each known route, by service.

        A route that needs none of the scarce services has no entries. A route
        of which too little is known is not contained.
        """
        now_s = self._clock.monotonic()
        known = {}
        for route, record in self._routes.items():
            if now_s - record.answered_at_s > _ROUTE_TTL_S:
                continue
            costs = {
                service: cost
                for service, cost in record.costs.items()
                if now_s - cost.stated_at_s <= _STATEMENT_TTL_S
            }
            is_known = (
                all(cost.is_known for cost in costs.values())
                if costs
                else record.free_answers >= _MIN_OBSERVATIONS
            )
            if is_known:
                known[route] = costs
        return known
