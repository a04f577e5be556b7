"""What a node knows about a request that it serves."""

import os
from typing import TYPE_CHECKING

from radishtray_protocol import RequestKind, wire
from radishtray_state import RetryLedger

if TYPE_CHECKING:
    from radishtray_node._outgoing_call import OutgoingCall

LEVELS_PER_CLASS = 128
_REQUEST_ID_BYTES = 16
_HANDLE_BYTES = 8
MAX_DEPTH = 32


class RunningRequest:
    """A request from its arrival at this node until its answer.

    Attributes:
        request_id: Identity across the whole chain.
        priority_class: Class drawn at the entry.
        level: Level within the class, drawn at the entry.
        deadline_s: Monotonic time by which the answer is due.
        ledger: Retry budget; shared by all calls made for this request.
        depth: Hops from the entry.
        key: Idempotency key, or None.
        fingerprint: Digest of the request's content.
        crash_count: Upstreams that ended while they ran this content.
        calls: Calls that this request is waiting for.
    """

    __slots__ = (
        "calls",
        "crash_count",
        "deadline_s",
        "depth",
        "fingerprint",
        "key",
        "ledger",
        "level",
        "priority_class",
        "request_id",
    )

    def __init__(
        self,
        request_id: bytes,
        priority_class: int,
        level: int,
        deadline_s: float,
        ledger: RetryLedger,
        depth: int,
        key: str | None,
        fingerprint: int,
        crash_count: int = 0,
    ) -> None:
        """Holds the context of a request."""
        self.request_id = request_id
        self.priority_class = priority_class
        self.level = level
        self.deadline_s = deadline_s
        self.ledger = ledger
        self.depth = depth
        self.key = key
        self.fingerprint = fingerprint
        self.crash_count = crash_count
        self.calls: set[OutgoingCall] = set()

    @property
    def rank(self) -> int:
        """Importance: class and level in one number."""
        return self.priority_class * LEVELS_PER_CLASS + self.level

    @classmethod
    def at_entry(
        cls,
        kind: RequestKind,
        now_s: float,
        key: str | None,
        fingerprint: int,
        retry_budget: int,
    ) -> "RunningRequest":
        """Creates the context of a request from outside.

        Args:
            kind: The request's kind.
            now_s: Monotonic time.
            key: Idempotency key of the caller, or None.
            fingerprint: Digest of the request's content.
            retry_budget: Retries that the whole chain may make.
        """
        request_id = os.urandom(_REQUEST_ID_BYTES)
        return cls(
            request_id,
            kind.priority_class,
            request_id[0] % LEVELS_PER_CLASS,
            now_s + kind.deadline_ms / 1000,
            RetryLedger(retry_budget),
            0,
            key,
            fingerprint,
        )

    @classmethod
    def from_wire(cls, context: wire.Context, now_s: float) -> "RunningRequest":
        """Creates the context of a request that another node sent."""
        return cls(
            context.request_id,
            context.priority_class,
            context.level,
            now_s + context.deadline_ms / 1000,
            RetryLedger(context.retry_budget),
            context.depth,
            context.key,
            context.fingerprint,
            context.crash_count,
        )

    def cancel_calls(self) -> None:
        """Cancels the calls that this request is waiting for."""
        for call in list(self.calls):
            call.cancel()


class RunningRequests:
    """Requests at this node's upstream, by the handle that it was given."""

    __slots__ = ("_by_handle",)

    def __init__(self) -> None:
        """Starts without requests."""
        self._by_handle: dict[str, RunningRequest] = {}

    def __len__(self) -> int:
        """Requests that hold a handle."""
        return len(self._by_handle)

    def add(self, request: RunningRequest) -> str:
        """Returns an unguessable handle that is valid until `remove`."""
        handle = os.urandom(_HANDLE_BYTES).hex()
        self._by_handle[handle] = request
        return handle

    def remove(self, handle: str) -> None:
        """Invalidates a handle."""
        self._by_handle.pop(handle, None)

    def get(self, handle: str) -> RunningRequest | None:
        """Returns the request of a valid handle."""
        return self._by_handle.get(handle)
