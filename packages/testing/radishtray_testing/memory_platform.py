"""In-memory object store of the platform that may lose any message.

Unlike `MemoryStore`, its versions are opaque strings, and its client has no
timeout: a call whose request or answer is lost never ends.
"""

from collections.abc import Callable
from enum import Enum
from random import Random
from zlib import crc32

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime


class MemoryPlatformError(Enum):
    """Errors that the store answers."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"


class MemoryObject:
    """A stored object at one version."""

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: str, value: bytes) -> None:
        """Creates an object.

        Args:
            name: Name of the object.
            version: Opaque version; each write creates another, in no order.
            value: Content.
        """
        self.name = name
        self.version = version
        self.value = value


ObjectResult = Result[MemoryObject, MemoryPlatformError]
"""The object that a call read or wrote, or the error of the store."""


class MemoryPlatform:
    """Versioned objects with simulated faults.

    Attributes:
        reactor: Simulated time of the store.
        rng: Source of delays and losses.
        objects: Objects by name.
        down: Whether all messages to and from the store are lost.
        loss: Probability that a message is lost.
        max_delay_s: Longest one-way delay of a message.
        reads: Number of reads that reached the store.
        writes: Number of writes that reached the store.
    """

    __slots__ = (
        "_write_count",
        "down",
        "loss",
        "max_delay_s",
        "objects",
        "reactor",
        "reads",
        "rng",
        "writes",
    )

    def __init__(self, reactor: IReactorTime, rng: Random) -> None:
        """Creates an empty store without faults.

        Args:
            reactor: Simulated time of the store.
            rng: Source of delays and losses.
        """
        self.reactor = reactor
        self.rng = rng
        self.objects: dict[str, MemoryObject] = {}
        self.down = False
        self.loss = 0.0
        self.max_delay_s = 0.01
        self._write_count = 0
        self.reads = 0
        self.writes = 0

    def get(self, name: str) -> ObjectResult:
        """Reads an object immediately."""
        self.reads += 1
        found = self.objects.get(name)
        return Ok(found) if found else Error(MemoryPlatformError.NOT_FOUND)

    def put(self, name: str, value: bytes, version: str | None) -> ObjectResult:
        """Writes an object immediately.

        Args:
            name: Name of the object.
            value: New content.
            version: Version that the object must have; None requires that it
                does not exist.
        """
        self.writes += 1
        current = self.objects.get(name)
        if (current.version if current else None) != version:
            return Error(MemoryPlatformError.CONFLICT)
        self._write_count += 1
        new_version = f"{crc32(b'%d' % self._write_count):08x}"
        self.objects[name] = MemoryObject(name, new_version, value)
        return Ok(self.objects[name])

    def draw_delay_s(self) -> float:
        """Draws the one-way delay of a message."""
        return self.rng.uniform(0, self.max_delay_s)

    def is_message_lost(self) -> bool:
        """Draws whether a message that is sent now is lost."""
        return self.down or self.rng.random() < self.loss


class MemoryPlatformClient:
    """A node's client; the Deferred of a lost call never fires.

    Attributes:
        cut: Whether all messages of this client are lost.
        should_cut_after_put: Called with the old and the new value when a put
            has replaced an object; if it returns true, `cut` is set, so that
            the answer is lost.
    """

    __slots__ = ("_platform", "_reactor", "cut", "should_cut_after_put")

    def __init__(
        self, platform: MemoryPlatform, reactor: IReactorTime | None = None
    ) -> None:
        """Creates a client.

        Args:
            platform: The store to call.
            reactor: Reactor of the node, which delivers answers, so that a
                paused node gets them late; the store's reactor if None.
        """
        self._platform = platform
        self._reactor = reactor or platform.reactor
        self.cut = False
        self.should_cut_after_put: Callable[[bytes, bytes], bool] | None = None

    def get(self, name: str) -> Deferred[ObjectResult]:
        """Reads an object; `NOT_FOUND` if it does not exist."""
        answer: Deferred[ObjectResult] = Deferred(_ignore_cancellation)
        self._send_request(answer, lambda: self._platform.get(name))
        return answer

    def put(
        self, name: str, value: bytes, version: str | None
    ) -> Deferred[ObjectResult]:
        """Writes an object at the given version; None creates it."""
        answer: Deferred[ObjectResult] = Deferred(_ignore_cancellation)
        self._send_request(
            answer, lambda: self._put_then_cut(name, value, version)
        )
        return answer

    def _put_then_cut(
        self, name: str, value: bytes, version: str | None
    ) -> ObjectResult:
        before = self._platform.objects.get(name)
        result = self._platform.put(name, value, version)
        if before and result.is_ok() and self.should_cut_after_put is not None:
            self.cut = self.cut or self.should_cut_after_put(
                before.value, value
            )
        return result

    def _send_request(
        self, answer: Deferred[ObjectResult], operation: object
    ) -> None:
        if not self._is_message_lost():
            self._platform.reactor.callLater(
                self._platform.draw_delay_s(), self._execute, answer, operation
            )

    def _execute(
        self, answer: Deferred[ObjectResult], operation: object
    ) -> None:
        assert callable(operation)
        result = operation()
        if not self._is_message_lost():
            self._reactor.callLater(
                self._platform.draw_delay_s(), _fire, answer, result
            )

    def _is_message_lost(self) -> bool:
        return self.cut or self._platform.is_message_lost()


def is_missing(error: object) -> bool:
    """Returns whether an error means that the object does not exist."""
    return error is MemoryPlatformError.NOT_FOUND


def _fire(answer: Deferred[ObjectResult], result: ObjectResult) -> None:
    if not answer.called:
        answer.callback(result)


def _ignore_cancellation(_answer: Deferred[ObjectResult]) -> None:
    """Does nothing: a cancelled call may still take effect at the store."""
