"""Log of requests that no upstream answered, limited by a token bucket."""

import logging

from radishtray_state import Clock, RefusalReason

_LOG = logging.getLogger("radishtray.decisions")
# Rate per node. One line costs about 0.05 ms of processor time.
_LINES_PER_S = 20
_BURST_LINES = 40


class DecisionLog:
    """Writes one log line for each request that no upstream answered.

    Lines beyond the rate are dropped. The next line that is written carries
    their number as `lines_dropped`.
    """

    __slots__ = ("_clock", "_dropped_lines", "_last_refill_s", "_tokens")

    def __init__(self, clock: Clock) -> None:
        """Creates the log with a full token bucket."""
        self._clock = clock
        self._tokens = float(_BURST_LINES)
        self._last_refill_s = clock.monotonic()
        self._dropped_lines = 0

    @property
    def dropped_lines(self) -> int:
        """Lines dropped since the last written line."""
        return self._dropped_lines

    def _take_token(self) -> bool:
        now_s = self._clock.monotonic()
        refill_tokens = (now_s - self._last_refill_s) * _LINES_PER_S
        self._tokens = min(self._tokens + refill_tokens, float(_BURST_LINES))
        self._last_refill_s = now_s
        if self._tokens < 1:
            self._dropped_lines += 1
            return False
        self._tokens -= 1
        return True

    def _write(self, decision: str, **fields: object) -> None:
        if not self._take_token():
            return
        if self._dropped_lines:
            fields["lines_dropped"] = self._dropped_lines
            self._dropped_lines = 0
        _LOG.info(decision, extra=fields)

    def log_unanswered(
        self,
        request_id: bytes,
        route: str,
        reason: RefusalReason,
        elapsed_s: float,
        version: int,
        organisation: str = "",
    ) -> None:
        """Logs that a request ended without an answer from an upstream.

        Args:
            request_id: Id of the request.
            route: Name of the request's route.
            reason: Reason that the caller got.
            elapsed_s: Time from the request's arrival to its end, in seconds.
            version: Version of the route table that was used.
            organisation: Organisation of the request; empty for none.
        """
        fields: dict[str, object] = {
            "request": request_id.decode("latin-1"),
            "route": route,
            "reason": reason.value,
            "held_ms": round(elapsed_s * 1000),
            "version": version,
        }
        if organisation:
            fields["organisation"] = organisation
        self._write(
            "request_refused" if reason.is_not_run else "request_failed",
            **fields,
        )

    def log_mismatched_answer(
        self,
        request_id: bytes,
        stated_id: str,
        route: str,
        node_id: str,
        attempt_id: int,
    ) -> None:
        """Logs that an answer states the id of another request.

        Args:
            request_id: Id of the request.
            stated_id: Id in the answer.
            route: Name of the request's route.
            node_id: The node that sent the answer.
            attempt_id: Attempt that the answer was matched to.
        """
        self._write(
            "answer_mismatched",
            request=request_id.decode("latin-1"),
            stated=stated_id,
            route=route,
            peer=node_id,
            attempt=attempt_id,
        )

    def log_caller_left(self, request_id: bytes, route: str) -> None:
        """Logs that a caller disconnected before it got its answer."""
        self._write(
            "caller_left", request=request_id.decode("latin-1"), route=route
        )

    def log_no_route(self, host: str, uri: str, version: int) -> None:
        """Logs that no route of the configuration matches a request."""
        self._write("no_route", host=host, uri=uri, version=version)
