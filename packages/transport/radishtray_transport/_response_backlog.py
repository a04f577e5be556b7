"""Responses of one connection that its client has not read."""

from collections.abc import Callable

from radishtray_transport._direct_writer import DirectWriter
from radishtray_transport._memory_account import MemoryAccount, MemoryPurpose


class ResponseBacklog:
    """Counts what a client has not read, and for how long it reads nothing."""

    __slots__ = (
        "_abort",
        "_memory",
        "_unread_since_s",
        "_unsent_bytes",
        "_writer",
    )

    def __init__(
        self,
        memory: MemoryAccount | None,
        writer: DirectWriter,
        abort: Callable[[], None],
    ) -> None:
        """Creates the backlog of a new connection.

        Args:
            memory: Account of the process; None for no limit.
            writer: Sends bytes to the client.
            abort: Resets the connection; called if there is no memory and the
                client has read nothing for longest.
        """
        self._memory = memory
        self._writer = writer
        self._abort = abort
        # Time since which the client has read nothing, and what was unsent
        # then.
        self._unread_since_s: float | None = None
        self._unsent_bytes = 0

    @property
    def is_unread(self) -> bool:
        """Whether the client has to read before more is sent."""
        return self._unread_since_s is not None

    def begin(self, now_s: float) -> None:
        """Records that the client has to read before more is sent."""
        self._unread_since_s = now_s

    def end(self) -> None:
        """Records that the client has read all."""
        self._unread_since_s = None
        self.release()

    def count(self, waiting_bytes: int) -> None:
        """Counts unsent bytes in the account.

        Args:
            waiting_bytes: Size of the responses that wait for their turn.
        """
        if self._memory is None:
            return
        size = self._writer.held_bytes + waiting_bytes
        if size:
            self._memory.charge(
                self,
                size,
                MemoryPurpose.UNREAD_RESPONSES,
                self._abort if self.is_unread else None,
            )
        else:
            self.release()

    def release(self) -> None:
        """Gives back the memory."""
        if self._memory is not None:
            self._memory.release(self)

    def has_stopped(self, now_s: float, max_s: float) -> bool:
        """Returns whether the client has read nothing for too long.

        Args:
            now_s: The present time.
            max_s: Seconds that it may read nothing.
        """
        if self._unread_since_s is None:
            return False
        unsent_bytes = self._writer.unsent_bytes
        if unsent_bytes != self._unsent_bytes:
            # A slow client has read a part of a response.
            self._unsent_bytes = unsent_bytes
            self._unread_since_s = now_s
            if self._memory is not None:
                self._memory.record_progress(self)
        return now_s - self._unread_since_s > max_s
