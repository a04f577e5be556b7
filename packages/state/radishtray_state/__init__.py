"""Pure state machines of the overload control layer.

No module of this package does I/O. Clocks, randomness and sends are passed in.
"""

from radishtray_state._clock import Clock, ManualClock, SystemClock
from radishtray_state._refusal import OutcomeFamily, RefusalReason

__all__ = [
    "Clock",
    "ManualClock",
    "OutcomeFamily",
    "RefusalReason",
    "SystemClock",
]
