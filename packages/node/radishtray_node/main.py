"""Entry point of `radishtray-node`."""

import json
import logging
import os
import signal
import sys
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError

from radishtray_node._application import Application
from radishtray_node._logs import configure_logging
from radishtray_node._settings import parse_settings

_LOG = logging.getLogger(__name__)
_FAILURE_EXIT_CODE = 1
_USAGE_EXIT_CODE = 2


def main() -> int:
    """Runs one node until SIGTERM or SIGINT has drained it.

    SIGHUP reloads the cluster keys.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 if a port is taken, 2 for
        settings that are missing or not valid.
    """
    parsed = parse_settings(sys.argv[1:], os.environ)
    if parsed.is_error():
        for finding in parsed.error:
            print(f"radishtray-node: {finding}", file=sys.stderr)
        return _USAGE_EXIT_CODE
    settings = parsed.ok
    configure_logging(settings.node_id, settings.log_level)
    reactor: Any = default_reactor
    application = Application(reactor, settings)
    application.stopped.addCallback(lambda _: reactor.stop())

    def drain(_signal: int, _frame: object) -> None:
        reactor.callFromThread(application.drain)

    def reload_keys(_signal: int, _frame: object) -> None:
        reactor.callFromThread(application.reload_keys)

    exit_codes = [0]

    def start() -> None:
        try:
            application.start()
        except CannotListenError as error:
            _LOG.error("port cannot be opened", extra={"error": str(error)})
            exit_codes.append(_FAILURE_EXIT_CODE)
            reactor.stop()
            return
        print(json.dumps({"ports": application.ports()}), flush=True)

    signal.signal(signal.SIGTERM, drain)
    signal.signal(signal.SIGINT, drain)
    signal.signal(signal.SIGHUP, reload_keys)
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return exit_codes[-1]


if __name__ == "__main__":
    sys.exit(main())
