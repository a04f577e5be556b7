"""Admission of the request that is arriving on a connection."""

from collections.abc import Callable

from radishtray_transport._http_request import HttpRequest
from radishtray_transport._memory_account import (
    SMALL_BODY_BYTES,
    MemoryAccount,
    MemoryPriority,
    MemoryPurpose,
)

# Most ordinary requests fit. A connection without admission holds no more.
_FIRST_READ_BYTES = 4 * 1024
_SMALL_READ_BYTES = 16 * 1024
_LARGE_READ_BYTES = 64 * 1024
# Chunks that are shorter on average are read in small steps: a read of 64 KiB
# in chunks of one byte takes 7 ms, in which no other connection is served.
_SHORT_PART_BYTES = 64
# A caller states a time budget of at most 6 s and sends its body within it, so
# that a body that arrives for longer may be ended, below this rate only.
_RATE_WINDOW_S = 6.0
_MIN_BYTES_PER_S = 1024
# Share of a caller's time budget for which its body waits for memory, so that
# it can try again after a rejection; and the wait if it states none, which is
# half of the longest budget in use.
_WAIT_SHARE = 0.5
_DEFAULT_WAIT_S = 3.0
_MAX_WAIT_S = 15.0
_MS_PER_S = 1000.0


class RequestIntake:
    """Takes memory for the request that is arriving on a connection.

    A request that arrives in one read is admitted when it is complete. Any
    other body needs memory for its first 64 KiB after the first read, and for
    its whole length before it exceeds them. Until then nothing more is read.

    Attributes:
        is_waiting: Whether nothing more may be read, since there is no memory.
    """

    __slots__ = (
        "_budget_header",
        "_has_small",
        "_is_small_enough",
        "_memory",
        "_part_count",
        "_received",
        "_resume",
        "_seconds",
        "_wait_until_s",
        "_window_received",
        "_window_started_s",
        "is_waiting",
    )

    def __init__(
        self,
        memory: MemoryAccount | None,
        seconds: Callable[[], float],
        resume: Callable[[], None],
        budget_header: bytes = b"",
    ) -> None:
        """Creates the intake of a connection without a request.

        Args:
            memory: Account of the process; None for no limit.
            seconds: Returns the time.
            resume: Called when reading may continue.
            budget_header: Header in which a client states its time budget in
                milliseconds; empty if there is none.
        """
        self._budget_header = budget_header
        self._memory = memory
        self._seconds = seconds
        self._resume = resume
        self.begin()

    def begin(self) -> None:
        """Starts the next request."""
        self.is_waiting = False
        self._has_small = False
        # Whether the memory for a small body is enough.
        self._is_small_enough = True
        self._wait_until_s = 0.0
        self._received = 0
        self._part_count = 0
        self._window_started_s = self._seconds()
        self._window_received = 0

    @property
    def read_bytes(self) -> int:
        """Most bytes that the next read may return."""
        if not self._has_small or (
            self._received < self._part_count * _SHORT_PART_BYTES
        ):
            return _FIRST_READ_BYTES
        return _SMALL_READ_BYTES if self._is_small_enough else _LARGE_READ_BYTES

    def count_part(self, size: int) -> None:
        """Counts a received part of the body."""
        self._received += size
        self._part_count += 1

    def admit(
        self, request: HttpRequest, head_bytes: int, max_body_bytes: int
    ) -> bool:
        """Takes memory for an incomplete request, after a read.

        Args:
            request: The request.
            head_bytes: Bytes of a part of its head that is not in `request`.
            max_body_bytes: Largest size of its body.

        Returns:
            Whether the request may continue, perhaps after a wait.
        """
        memory = self._memory
        if memory is None or self.is_waiting:
            return True
        head = request.head_memory_bytes + head_bytes
        received = self._received
        if not self._has_small:
            purpose = (
                MemoryPurpose.ARRIVING_BODIES
                if received
                else MemoryPurpose.HEADS
            )
            if not memory.try_take(
                request, head + received, purpose, MemoryPriority.STARTED
            ):
                return False
            if not received:
                return True
        length = request.body_length(max_body_bytes)
        if not self._has_small:
            self._has_small = True
            self._take(
                request,
                head + min(length, SMALL_BODY_BYTES),
                MemoryPriority.SMALL,
            )
        elif (
            self._is_small_enough
            and length > SMALL_BODY_BYTES
            and received + _SMALL_READ_BYTES > SMALL_BODY_BYTES
        ):
            self._is_small_enough = False
            self._take(request, head + length, MemoryPriority.LARGE)
        return True

    def expect_body(self, request: HttpRequest, max_body_bytes: int) -> bool:
        """Takes memory for a body before its client sends any of it.

        Returns:
            Whether there is memory; otherwise the intake waits for it.
        """
        self._has_small = True
        if self._memory is not None:
            length = request.body_length(max_body_bytes)
            self._take(
                request,
                request.head_memory_bytes + min(length, SMALL_BODY_BYTES),
                MemoryPriority.SMALL,
            )
        return not self.is_waiting

    def _take(
        self, request: HttpRequest, size: int, priority: MemoryPriority
    ) -> None:
        assert self._memory is not None
        self.is_waiting = not self._memory.take_or_wait(
            request,
            size,
            MemoryPurpose.ARRIVING_BODIES,
            priority,
            self._finish_wait,
        )
        if self.is_waiting:
            self._wait_until_s = self._seconds() + self._max_wait_s(request)

    def _max_wait_s(self, request: HttpRequest) -> float:
        stated = request.header(self._budget_header)
        if stated is None or not stated.isdigit():
            return _DEFAULT_WAIT_S
        return min(_MAX_WAIT_S, _WAIT_SHARE * int(stated) / _MS_PER_S)

    def _finish_wait(self) -> None:
        self.is_waiting = False
        self._window_started_s = self._seconds()
        self._window_received = self._received
        self._resume()

    def complete(self, request: HttpRequest) -> bool:
        """Counts a complete request until `release`.

        The end of a body may arrive before there is memory for it.

        Returns:
            Whether there is memory; a request that has not been admitted before
            may find none.
        """
        self.is_waiting = False
        memory = self._memory
        if memory is None:
            return True
        size = request.head_memory_bytes + len(request.body)
        if self._has_small:
            memory.stop_waiting(request)
            memory.charge(request, size, MemoryPurpose.REQUESTS)
            return True
        return memory.try_take(
            request, size, MemoryPurpose.REQUESTS, MemoryPriority.MINIMAL
        )

    def release(self, request: HttpRequest) -> None:
        """Gives back the memory of a request."""
        if self._memory is not None:
            self._memory.release(request)

    def has_waited_long(self, now_s: float) -> bool:
        """Returns whether an arriving request should be rejected."""
        return self.is_waiting and now_s > self._wait_until_s

    def is_slow(self, now_s: float) -> bool:
        """Returns whether the body has arrived too slowly in the last seconds.

        To be called regularly while a body is arriving.
        """
        elapsed_s = now_s - self._window_started_s
        if self.is_waiting or elapsed_s < _RATE_WINDOW_S:
            return False
        if (
            self._received - self._window_received
            < elapsed_s * _MIN_BYTES_PER_S
        ):
            return True
        self._window_started_s = now_s
        self._window_received = self._received
        return False
