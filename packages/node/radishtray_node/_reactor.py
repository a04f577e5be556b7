"""The event loop on the product's clock."""

import sys

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from radishtray_state import Clock, SystemClock


class BootTimeReactor(EPollReactor):
    """Runs timers by the time since boot.

    Twisted's own reactors use the wall clock: a jump of it would hold timers
    back, or run all of them at once. After a suspension of the VM, timers that
    are due run at once.
    """

    _clock: Clock = SystemClock()

    def seconds(self) -> float:
        """Returns seconds since boot."""
        return self._clock.monotonic()


def install_reactor() -> BootTimeReactor:
    """Installs the event loop; call before anything else imports one.

    Raises:
        RuntimeError: If another event loop has been installed.
    """
    if "twisted.internet.reactor" in sys.modules:
        raise RuntimeError("an event loop is already installed")
    reactor = BootTimeReactor()
    installReactor(reactor)
    return reactor
