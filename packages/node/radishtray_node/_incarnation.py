"""Incarnation numbers, which tell the processes of a node apart."""

import secrets

from radishtray_state import Clock

_RANDOM_BITS = 20


def new_incarnation(clock: Clock) -> int:
    """Returns an incarnation number that increases with the start time.

    The high bits hold the wall time in milliseconds. The low bits are random,
    so that two processes started in the same millisecond differ: key slots
    are owned by one incarnation of a node.
    """
    return _make_incarnation(clock.wall_ms())


def incarnation_above(known: int) -> int:
    """Returns a higher incarnation number, with random low bits.

    Two processes that learn of the same earlier one thus adopt different
    numbers.
    """
    return _make_incarnation((known >> _RANDOM_BITS) + 1)


def _make_incarnation(milliseconds: int) -> int:
    return (milliseconds << _RANDOM_BITS) | secrets.randbits(_RANDOM_BITS)
