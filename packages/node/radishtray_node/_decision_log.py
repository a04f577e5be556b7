"""Log lines about decisions, with a bounded rate."""

import logging

from radishtray_state import Clock, RefusalReason

_LOG = logging.getLogger("radishtray.decisions")
# Lines a second and node; each costs about 0.05 ms of processor time.
_LINES_PER_S = 20
_BURST = 40


class DecisionLog:
    """Writes one line for each request that no upstream answered.

    Lines beyond the rate are dropped and counted; the count is part of the
    next line.
    """

    __slots__ = ("_allowance", "_clock", "_dropped", "_refilled_s")

    def __init__(self, clock: Clock) -> None:
        """Starts with the full allowance."""
        self._clock = clock
        self._allowance = float(_BURST)
        self._refilled_s = clock.monotonic()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._dropped

    def _takes_line(self) -> bool:
        now = self._clock.monotonic()
        gained = (now - self._refilled_s) * _LINES_PER_S
        self._allowance = min(self._allowance + gained, float(_BURST))
        self._refilled_s = now
        if self._allowance < 1:
            self._dropped += 1
            return False
        self._allowance -= 1
        return True

    def _write(self, decision: str, **fields: object) -> None:
        if not self._takes_line():
            return
        if self._dropped:
            fields["lines_dropped"] = self._dropped
            self._dropped = 0
        _LOG.info(decision, extra=fields)

    def ended(
        self,
        request_id: bytes,
        route: str,
        reason: RefusalReason,
        held_s: float,
        version: int,
    ) -> None:
        """A request ended without an answer of an upstream."""
        self._write(
            "request_refused" if reason.is_not_run else "request_failed",
            request=request_id.decode("latin-1"),
            route=route,
            reason=reason.value,
            held_ms=round(held_s * 1000),
            version=version,
        )

    def caller_left(self, request_id: bytes, route: str) -> None:
        """A caller disconnected before its answer."""
        self._write(
            "caller_left", request=request_id.decode("latin-1"), route=route
        )

    def no_route(self, host: str, uri: str, version: int) -> None:
        """No route of the configuration matches a request."""
        self._write("no_route", host=host, uri=uri, version=version)
