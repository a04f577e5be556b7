"""One attempt to have another node run a call."""

from collections.abc import Callable
from enum import Enum

from radishtray_protocol import wire


class SendFailure(Enum):
    """Why an attempt ended without an answer from the receiver."""

    NOT_RUN = "not_run"
    """The attempt was not handed over, or the receiver has not run it."""

    NEVER_SEEN = "never_seen"
    """The receiver has not run it, and a new connection to it is open."""

    UNKNOWN = "unknown"
    """The attempt may have run."""


class SentAttempt:
    """One attempt to have a node run a call.

    Attributes:
        call: The call; its attempt id is assigned at the handover to a
            connection.
        on_answer: Called once with the receiver's answer.
        on_failure: Called once if there is no answer.
        is_handed_over: Whether the call was handed to a connection.
        is_cancelled: Whether the sender no longer needs the result.
        is_settled: Whether a callback was called.
    """

    __slots__ = (
        "call",
        "is_cancelled",
        "is_handed_over",
        "is_settled",
        "on_answer",
        "on_failure",
    )

    def __init__(
        self,
        call: wire.Call,
        on_answer: Callable[[wire.Answer], None],
        on_failure: Callable[[SendFailure], None],
    ) -> None:
        """Creates an attempt that has not been sent."""
        self.call = call
        self.on_answer = on_answer
        self.on_failure = on_failure
        self.is_handed_over = False
        self.is_cancelled = False
        self.is_settled = False
