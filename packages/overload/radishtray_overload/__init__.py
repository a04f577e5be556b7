"""Decisions under load, without I/O.

Each decision takes observations and the time, and returns a verdict. Clocks and
sources of randomness are passed in.
"""

from radishtray_overload._capacity import LearnedCapacity

__all__ = ["LearnedCapacity"]
