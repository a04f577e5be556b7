"""Kinds of faults in the call chain model."""

from enum import Enum


class Fault(Enum):
    """Faults that a run may contain."""

    LOST_ANSWER = "lost_answer"
    """An answer is not written to its connection."""

    LATE_ANSWER = "late_answer"
    """An answer is written after a delay."""

    CROSSED_ANSWER = "crossed_answer"
    """An answer is also written to the connections of other processes."""

    DUPLICATE_ANSWER = "duplicate_answer"
    """An answer is written three times, the last time after a delay."""

    KILL = "kill"
    """A process ends and is replaced by one of the next incarnation."""

    FREEZE = "freeze"
    """A process is paused for a while."""

    CUT = "cut"
    """A connection is closed and its frames in transit are lost."""

    SILENCE = "silence"
    """A connection delivers nothing for a while, or never again."""

    REPLACE_PAUSED = "replace_paused"
    """A paused process is replaced, then resumes beside its replacement."""

    GONE_REPORT = "gone_report"
    """A process closes its link to a node that it believes to be gone.

    The node may be alive, or the link may have reconnected to the process that
    replaced it.
    """


ANSWER_FAULTS = (
    Fault.LOST_ANSWER,
    Fault.LATE_ANSWER,
    Fault.CROSSED_ANSWER,
    Fault.DUPLICATE_ANSWER,
)
