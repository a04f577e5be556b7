"""One request of a caller, from its arrival to its answer."""

from typing import TYPE_CHECKING

from radishtray_node._call_result import CallResult
from radishtray_node._organisation_gate import CallerIdentity
from radishtray_node._routed_call import RoutedCall
from radishtray_organisations import TokenVerdict, TokenWait
from radishtray_protocol import Route
from radishtray_state import ParentRequest, RefusalReason
from radishtray_transport import HttpRequest

if TYPE_CHECKING:
    from radishtray_node._route_entry import RouteEntry


class Exchange:
    """One request of a caller, from its arrival to its answer."""

    __slots__ = (
        "_call",
        "_caller_timeout_s",
        "_entry",
        "_http",
        "_identity",
        "_parent",
        "_request_id",
        "_route",
        "_started_s",
        "_token",
        "_token_wait",
    )

    def __init__(
        self,
        entry: "RouteEntry",
        http: HttpRequest,
        route: Route,
        request_id: bytes,
        caller_timeout_s: float,
        started_s: float,
        parent: ParentRequest | None,
        identity: CallerIdentity,
    ) -> None:
        """Creates an exchange; `start` processes it.

        Args:
            entry: The handler that accepted the request.
            http: The request.
            route: Its route.
            request_id: Its id.
            caller_timeout_s: Seconds that the caller waits for an answer.
            started_s: Monotonic time at which the request arrived.
            parent: The running request that it is made for; None for a first
                request.
            identity: Whom it belongs to.
        """
        self._identity = identity
        self._token: TokenVerdict | None = None
        self._token_wait: TokenWait | None = None
        self._entry = entry
        self._parent = parent
        self._http = http
        self._route = route
        self._request_id = request_id
        self._caller_timeout_s = caller_timeout_s
        self._started_s = started_s
        self._call: RoutedCall | None = None

    def start(self, call: RoutedCall) -> None:
        """Starts the call and cancels it if the caller disconnects.

        A request of an organisation with an allotment first takes a token.
        """
        self._call = call
        self._http.on_disconnect = self._on_disconnect
        if self._parent is not None:
            self._parent.begin_call(self._entry.router.clock.monotonic())
        if self._identity.is_limited:
            self._token_wait = self._entry.gate.acquire(
                self._identity, self._on_token
            )
        else:
            call.start()

    def _on_token(self, token: TokenVerdict) -> None:
        self._token_wait = None
        call = self._call
        if call is None:
            return
        if token.is_granted:
            self._token = token
            if not token.is_regular:
                call.lower_level(self._entry.draw_excess_level(self._route))
            call.start()
            return
        reason = (
            RefusalReason.ALLOTMENT_EXHAUSTED
            if token.is_answered
            else RefusalReason.ALLOTMENT_UNKNOWN
        )
        self._entry.router.metrics.count_refusal(reason)
        call.cancel()
        self.finish(CallResult.refused(reason), token.retry_s)

    def _return_token(self, refusal: RefusalReason | None) -> None:
        """Returns the token of a request that has not run."""
        token, self._token = self._token, None
        if token is not None and refusal is not None and refusal.is_not_run:
            self._entry.gate.release(self._identity, token)

    def finish(self, result: CallResult, retry_s: float | None = None) -> None:
        """Answers the caller.

        Args:
            result: The result of the request.
            retry_s: Seconds after which a refused request may come again; None
                to choose it by the reason.
        """
        self._return_token(result.refusal)
        if self._identity.organisation:
            self._entry.count_organisation(
                self._identity.organisation, result.refusal
            )
        # Breaks the reference cycle, so that both are freed without a garbage
        # collection.
        self._call = None
        entry = self._entry
        entry.exchanges.discard(self)
        self._end_call(
            has_failed=result.refusal is not None or result.is_server_error
        )
        held_s = entry.router.clock.monotonic() - self._started_s
        entry.timer.record(held_s)
        entry.decisions.record(self._route, self._parent, result, held_s)
        if result.refusal is None:
            self._http.respond(result.status, result.headers, result.body)
            return
        entry.router.metrics.count_delivered_refusal(result.refusal)
        entry.log.log_unanswered(
            self._request_id,
            self._route.name,
            result.refusal,
            held_s,
            entry.version,
            self._identity.organisation,
        )
        entry.refuse(
            self._http,
            result.refusal,
            self._caller_timeout_s - held_s,
            retry_s,
            entry.decisions.retry_after_s(
                self._route,
                result.refusal,
                self._caller_timeout_s,
                self._caller_timeout_s - held_s,
            ),
        )

    def _end_call(self, *, has_failed: bool) -> None:
        """Records the end of a call in the request that it was made for."""
        parent = self._parent
        if parent is not None:
            parent.end_call(self._entry.router.clock.monotonic())
            if has_failed:
                parent.has_failed_call = True
            else:
                parent.served_calls += 1

    def end(self) -> None:
        """Answers the caller now, as at the deadline of the request."""
        if self._call is not None:
            self._call.end()

    def _on_disconnect(self) -> None:
        self._entry.exchanges.discard(self)
        self._end_call(has_failed=True)
        self._entry.log.log_caller_left(self._request_id, self._route.name)
        if self._token_wait is not None:
            self._token_wait.cancel()
        if self._call is not None:
            self._call.cancel()
