"""Result of one call: an upstream's answer or a refusal."""

import json

from radishtray_node._service_uses import uses_from_wire
from radishtray_overload import ServiceUse
from radishtray_protocol import wire
from radishtray_state import RefusalReason
from radishtray_transport import HeaderList

OUTCOME_HEADER = "Radishtray-Outcome"
REASON_HEADER = "Radishtray-Reason"
RETRY_KEY_HEADER = "Radishtray-Retry-Key"
_FIRST_SERVER_ERROR = 500


class CallResult:
    """A complete answer from an upstream, or a refusal with its reason.

    Attributes:
        status: HTTP status for the caller.
        headers: Names and values, alternating.
        body: The complete body.
        refusal: Reason of a refusal; None for an answer.
        crashed: Whether the upstream crashed while it ran the request.
        retry_key: Key with which a refused request can be sent again, or None.
        call_failed: Whether a call that the upstream made for the request
            failed.
        service_uses: What the request and the calls made for it used of scarce
            services.
    """

    __slots__ = (
        "body",
        "call_failed",
        "crashed",
        "headers",
        "refusal",
        "retry_key",
        "service_uses",
        "status",
    )

    def __init__(
        self,
        status: int,
        headers: HeaderList,
        body: bytes,
        refusal: RefusalReason | None = None,
        crashed: bool = False,
        retry_key: str | None = None,
        *,
        call_failed: bool = False,
        service_uses: tuple[ServiceUse, ...] = (),
    ) -> None:
        """Creates a result from its parts; see also `refused`."""
        self.service_uses = service_uses
        self.call_failed = call_failed
        self.retry_key = retry_key
        self.status = status
        self.headers = headers
        self.body = body
        self.refusal = refusal
        self.crashed = crashed

    @property
    def is_server_error(self) -> bool:
        """Whether an upstream answered with status 5xx."""
        return self.refusal is None and self.status >= _FIRST_SERVER_ERROR

    @classmethod
    def refused(
        cls,
        reason: RefusalReason,
        retry_key: str | None = None,
        crashed: bool = False,
    ) -> "CallResult":
        """Builds the result of a refusal.

        Args:
            reason: Why there is no answer from an upstream.
            retry_key: Key with which the request can be sent again, or None.
            crashed: Whether the upstream crashed while it ran the request.
        """
        headers = [
            "Content-Type",
            "application/json",
            OUTCOME_HEADER,
            reason.family.value,
            REASON_HEADER,
            reason.value,
        ]
        if retry_key is not None:
            headers += [RETRY_KEY_HEADER, retry_key]
        body = json.dumps(
            {
                "outcome": reason.family.value,
                "reason": reason.value,
                "text": reason.text,
            }
        )
        return cls(
            reason.http_status,
            headers,
            body.encode(),
            reason,
            crashed,
            retry_key,
        )

    @classmethod
    def from_wire(cls, answer: wire.Answer) -> "CallResult":
        """Builds a result from the answer frame of another node."""
        if answer.refusal is None:
            return cls(
                answer.status,
                answer.headers,
                answer.body,
                call_failed=bool(answer.call_failed),
                service_uses=uses_from_wire(answer.service_uses),
            )
        reason = RefusalReason.from_wire_name(answer.refusal)
        if reason is None:
            # A node of a newer version may send a reason that is unknown here.
            # `NODE_LOST` does not claim that the request was not run.
            reason = RefusalReason.NODE_LOST
        return cls.refused(reason, answer.detail, bool(answer.crashed))
