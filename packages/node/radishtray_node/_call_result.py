"""The end of one call: an upstream's answer or a refusal."""

import json

from radishtray_protocol import wire
from radishtray_state import RefusalReason
from radishtray_transport import HeaderList

OUTCOME_HEADER = "Radishtray-Outcome"
REASON_HEADER = "Radishtray-Reason"
RETRY_KEY_HEADER = "Radishtray-Retry-Key"


class CallResult:
    """A whole answer of an upstream, or a typed refusal.

    Attributes:
        status: HTTP status towards the caller.
        headers: Names and values, alternating.
        body: The whole body.
        refusal: Reason, if this is a refusal.
        crashed: Whether the upstream ended while it ran the request.
        retry_key: Key with which a refused request can be sent again.
    """

    __slots__ = (
        "body",
        "crashed",
        "headers",
        "refusal",
        "retry_key",
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
    ) -> None:
        """Holds the parts of a result."""
        self.retry_key = retry_key
        self.status = status
        self.headers = headers
        self.body = body
        self.refusal = refusal
        self.crashed = crashed

    @classmethod
    def refused(
        cls,
        reason: RefusalReason,
        retry_key: str | None = None,
        crashed: bool = False,
    ) -> "CallResult":
        """Builds the result of a refusal.

        Args:
            reason: Why there is no answer of an upstream.
            retry_key: Key with which the request can be sent again.
            crashed: Whether the upstream ended while it ran the request.
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
        """Builds the result that another node sent."""
        if answer.refusal is None:
            return cls(answer.status, answer.headers, answer.body)
        reason = RefusalReason.from_wire_name(answer.refusal)
        if reason is None:
            # A newer node may know more reasons; claim nothing about them.
            reason = RefusalReason.NODE_LOST
        return cls.refused(reason, answer.detail, bool(answer.crashed))
