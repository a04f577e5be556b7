"""Random numbers and error logs of simulated nodes."""

import logging
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from twisted.logger import globalLogPublisher

from radishtray_node import _gateway, _incarnation
from radishtray_state import _outstanding_attempts


class _LoggedErrors(logging.Handler):
    """Collects logged errors and exceptions, of `logging` and of Twisted."""

    def __init__(self) -> None:
        super().__init__()
        self.texts: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps the record of an error or of any exception."""
        if record.levelno >= logging.ERROR or record.exc_info:
            self.texts.append(self.format(record))

    def observe(self, event: dict[str, Any]) -> None:
        """Keeps a Twisted log event with a failure."""
        failure = event.get("log_failure")
        if failure is not None:
            self.texts.append(failure.getTraceback())


@contextmanager
def recorded_errors() -> Iterator[list[str]]:
    """Yields a list to which errors are added that are logged meanwhile."""
    errors = _LoggedErrors()
    root = logging.getLogger()
    root.addHandler(errors)
    globalLogPublisher.addObserver(errors.observe)
    try:
        yield errors.texts
    finally:
        globalLogPublisher.removeObserver(errors.observe)
        root.removeHandler(errors)


@contextmanager
def seeded_nodes(rng: Random) -> Iterator[None]:
    """Has new gateways take their random numbers from `rng`.

    Gateways also leave the settings of the garbage collector as they are.
    """

    def new_random() -> Random:
        return Random(rng.getrandbits(64))

    secrets = SimpleNamespace(randbits=rng.getrandbits)
    with ExitStack() as stack:
        for module, name, value in (
            (_gateway, "random", SimpleNamespace(Random=new_random)),
            (_gateway, "gc", mock.Mock()),
            (_incarnation, "secrets", secrets),
            (_outstanding_attempts, "secrets", secrets),
        ):
            stack.enter_context(mock.patch.object(module, name, value))
        yield
