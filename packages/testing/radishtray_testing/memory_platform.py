"""An in-memory platform object store with faults, on a simulated reactor."""

from collections.abc import Callable
from enum import Enum
from random import Random
from zlib import crc32

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime


class MemoryFault(Enum):
    """Errors of the store."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"


class MemoryObject:
    """One stored object."""

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: str, value: bytes) -> None:
        """Takes the object's content.

        Args:
            name: Object name.
            version: Differs after every change, in no order.
            value: Content.
        """
        self.name = name
        self.version = version
        self.value = value


MemoryResult = Result[MemoryObject, MemoryFault]


class MemoryPlatform:
    """The objects and the faults of all clients."""

    __slots__ = (
        "_changes",
        "down",
        "loss",
        "objects",
        "reactor",
        "reads",
        "rng",
        "slowness_s",
        "writes",
    )

    def __init__(self, reactor: IReactorTime, rng: Random) -> None:
        """Starts empty and without faults.

        Args:
            reactor: Delays requests and answers.
            rng: Source of delays and losses.
        """
        self.reactor = reactor
        self.rng = rng
        self.objects: dict[str, MemoryObject] = {}
        self.down = False
        self.loss = 0.0
        self.slowness_s = 0.01
        self._changes = 0
        self.reads = 0
        self.writes = 0

    def get(self, name: str) -> MemoryResult:
        """Reads an object at once."""
        self.reads += 1
        found = self.objects.get(name)
        return Ok(found) if found else Error(MemoryFault.NOT_FOUND)

    def put(self, name: str, value: bytes, version: str | None) -> MemoryResult:
        """Replaces an object at once if its version is the given one."""
        self.writes += 1
        present = self.objects.get(name)
        if (present.version if present else None) != version:
            return Error(MemoryFault.CONFLICT)
        self._changes += 1
        opaque = f"{crc32(b'%d' % self._changes):08x}"
        self.objects[name] = MemoryObject(name, opaque, value)
        return Ok(self.objects[name])

    def delay_s(self) -> float:
        """Returns the time of one way to or from the store."""
        return self.rng.uniform(0, self.slowness_s)

    def loses(self) -> bool:
        """Whether a message is lost, now that it is sent."""
        return self.down or self.rng.random() < self.loss


class MemoryClient:
    """One node's client; a lost message leaves its Deferred unfired.

    Attributes:
        cut: Whether all messages are lost.
        cut_after: Decides from the old and new value of a put that took effect
            whether the client is cut then, so that the answer is lost.
    """

    __slots__ = ("_platform", "_reactor", "cut", "cut_after")

    def __init__(
        self, platform: MemoryPlatform, reactor: IReactorTime | None = None
    ) -> None:
        """Connects to the store.

        Args:
            platform: The store.
            reactor: Delivers answers, so that a frozen node gets them late;
                the store's own reactor if absent.
        """
        self._platform = platform
        self._reactor = reactor or platform.reactor
        self.cut = False
        self.cut_after: Callable[[bytes, bytes], bool] | None = None

    def get(self, name: str) -> Deferred[MemoryResult]:
        """Reads an object."""
        answer: Deferred[MemoryResult] = Deferred(_ignore)
        self._request(answer, lambda: self._platform.get(name))
        return answer

    def put(
        self, name: str, value: bytes, version: str | None
    ) -> Deferred[MemoryResult]:
        """Replaces an object at a version; None creates it."""
        answer: Deferred[MemoryResult] = Deferred(_ignore)
        self._request(answer, lambda: self._put(name, value, version))
        return answer

    def _put(
        self, name: str, value: bytes, version: str | None
    ) -> MemoryResult:
        before = self._platform.objects.get(name)
        result = self._platform.put(name, value, version)
        if before and result.is_ok() and self.cut_after is not None:
            self.cut = self.cut or self.cut_after(before.value, value)
        return result

    def _request(self, answer: Deferred[MemoryResult], effect: object) -> None:
        if not self._loses():
            self._platform.reactor.callLater(
                self._platform.delay_s(), self._arrive, answer, effect
            )

    def _arrive(self, answer: Deferred[MemoryResult], effect: object) -> None:
        assert callable(effect)
        result = effect()
        if not self._loses():
            self._reactor.callLater(
                self._platform.delay_s(), _fire, answer, result
            )

    def _loses(self) -> bool:
        return self.cut or self._platform.loses()


def is_missing(error: object) -> bool:
    """Whether an error of `get` says that the object does not exist."""
    return error is MemoryFault.NOT_FOUND


def _fire(answer: Deferred[MemoryResult], result: MemoryResult) -> None:
    if not answer.called:
        answer.callback(result)


def _ignore(_answer: Deferred[MemoryResult]) -> None:
    """Lets a timed-out request take effect later, as on a network."""
