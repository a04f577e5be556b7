"""What a server connection needs of the listener that accepted it."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from twisted.internet.interfaces import IReactorTime

from radishtray_transport._http_request import HttpLimits, HttpRequest
from radishtray_transport._memory_account import MemoryAccount

if TYPE_CHECKING:
    from radishtray_transport._http_channel import HttpChannel


class ChannelOwner(Protocol):
    """The listener that accepted a connection.

    Attributes:
        reactor: Source of time.
        limits: Limits of the listener.
        handler: Called with each complete request.
        may_overlap: Whether a request may be handled while others on its
            connection that may do so as well have no response yet.
        memory: Account of the memory for requests, from their arrival until
            the response, and for responses that are not read; None for no
            limit.
        on_rejected: Called with the reason for each rejected request.
        budget_header: Header with a client's time budget in milliseconds.
    """

    reactor: IReactorTime
    limits: HttpLimits
    handler: Callable[[HttpRequest], None]
    may_overlap: Callable[[HttpRequest], bool]
    memory: MemoryAccount | None
    on_rejected: Callable[[str], None]
    budget_header: bytes

    @property
    def is_crowded(self) -> bool:
        """Whether most of the connections are in use."""
        ...

    @property
    def is_tight(self) -> bool:
        """Whether slow clients are ended, to have room for others."""
        ...

    def channel_opened(self, channel: "HttpChannel") -> None:
        """Adds a channel to the open connections."""
        ...

    def channel_closed(self, channel: "HttpChannel") -> None:
        """Removes a channel from the open connections."""
        ...
