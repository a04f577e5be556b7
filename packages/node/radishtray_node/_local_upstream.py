"""Registration, connections and slots of the upstream beside this node."""

import json
import logging
import random
from collections.abc import Callable
from ipaddress import ip_address

from expression import Error, Ok, Result
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, Protocol

from radishtray_state import (
    AdmissionController,
    Clock,
    CrashSuspects,
    CrashTally,
    LimitLearner,
    RefusalReason,
    digest_63_bits,
)
from radishtray_transport import (
    HttpClient,
    MemoryAccount,
    ResponseFault,
    ResponseRules,
)

_LOG = logging.getLogger(__name__)
HEARTBEAT_PROBE_S = 3.0
HEARTBEAT_TIMEOUT_S = 30.0
_MAX_SLOTS = 100_000
_MAX_COLD_START_S = 3600.0
_PROBE_TIMEOUT_S = 1.0
# Allowed in addition to one connection per slot, for connections that are still
# being closed after a cancelled request.
_SPARE_CONNECTIONS = 16
_DEFAULT_MAX_CONNECTIONS = 8192
_MAX_RESPONSE_BYTES = 2 * 1024 * 1024


class Announcement:
    """Registration that an upstream sends, also as its heartbeat.

    Attributes:
        service: Service that the upstream belongs to.
        host: IP address of the upstream.
        port: TCP port of the upstream.
        slots: Number of requests that it can run concurrently.
        cold_start_s: Duration of its warm-up after a start, in seconds.
        instance: Id of its process; a new id means that it was restarted.
        started_ms: Start of its process, in milliseconds since the epoch; 0 if
            it was not stated. Another start means that it was restarted.
    """

    __slots__ = (
        "cold_start_s",
        "host",
        "instance",
        "port",
        "service",
        "slots",
        "started_ms",
    )

    def __init__(
        self,
        service: str,
        host: str,
        port: int,
        slots: int,
        cold_start_s: float = 0.0,
        instance: str = "",
        started_ms: int = 0,
    ) -> None:
        """Creates a valid announcement.

        Raises:
            ValueError: If the service is empty, the host is not an IP address
                or a number is out of range.
        """
        if not service:
            raise ValueError("service must not be empty")
        ip_address(host)
        if not 0 < port < 65536:
            raise ValueError(f"port {port} is not within 1 and 65535")
        if not 0 < slots <= _MAX_SLOTS:
            raise ValueError(f"slots {slots} is not within 1 and {_MAX_SLOTS}")
        if not 0 <= cold_start_s <= _MAX_COLD_START_S:
            raise ValueError(f"cold_start_s {cold_start_s} is out of range")
        self.service = service
        self.host = host
        self.port = port
        self.slots = slots
        self.cold_start_s = cold_start_s
        self.instance = instance
        self.started_ms = started_ms

    @property
    def process_digest(self) -> int:
        """Names the process; another one after its restart."""
        return digest_63_bits(f"{self.started_ms} {self.instance}")


def parse_announcement(body: bytes) -> Result[Announcement, str]:
    """Parses the JSON body of `PUT /announce`.

    >>> parse_announcement(b"[]").error
    'the announcement must be a JSON object'
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Error(f"the announcement is not JSON: {error}")
    if not isinstance(value, dict):
        return Error("the announcement must be a JSON object")
    try:
        if not isinstance(value["service"], str):
            raise TypeError("the service must be a text")
        host, _, port = str(value["address"]).rpartition(":")
        return Ok(
            Announcement(
                value["service"],
                host,
                int(port),
                int(value["slots"]),
                float(value.get("cold_start_s", 0.0)),
                str(value.get("instance", "")),
            )
        )
    except KeyError as error:
        return Error(f"the announcement lacks {error}")
    except (TypeError, ValueError, OverflowError) as error:
        return Error(f"the announcement is invalid: {error}")


class _Probe(Protocol):
    def connectionMade(self) -> None:
        self.transport.abortConnection()
        self.factory.done(True)


class _ProbeFactory(ClientFactory):
    noisy = False
    protocol = _Probe

    def __init__(self, done: Callable[[bool], None]) -> None:
        self.done = done

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.done(False)


class UpstreamProcess:
    """One process of the upstream, from its announcement on.

    It is replaced by the next process, and by a new announcement of the same
    one after a withdrawal.

    Attributes:
        client: HTTP client with the connections to the process.
        has_crashed: Whether a probe has shown that the process has crashed.
    """

    __slots__ = ("_probe_waiters", "client", "has_crashed")

    def __init__(self, client: HttpClient) -> None:
        """Creates a process that has not crashed."""
        self.client = client
        self.has_crashed = False
        self._probe_waiters: list[Callable[[bool], None]] = []

    def add_probe_waiter(self, done: Callable[[bool], None]) -> bool:
        """Adds a waiter; returns whether it is the first of its probe."""
        self._probe_waiters.append(done)
        return len(self._probe_waiters) == 1

    def finish_probe(self) -> None:
        """Calls the waiters of a probe with whether the process has crashed."""
        waiters, self._probe_waiters = self._probe_waiters, []
        for done in waiters:
            done(self.has_crashed)


class LocalUpstream:
    """The upstream beside this node.

    Attributes:
        announcement: The latest announcement; None if it was withdrawn or there
            was none yet.
        process: The process that was announced last; None before the first
            announcement.
        admission: Admits requests to the slots of the upstream.
        suspects: Fingerprints of requests that may crash upstreams.
    """

    __slots__ = (
        "_clock",
        "_identity",
        "_last_heartbeat_s",
        "_max_connections",
        "_memory",
        "_on_change",
        "_on_crash",
        "_on_response_fault",
        "_reactor",
        "_response_rules",
        "admission",
        "announcement",
        "process",
        "suspects",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        clock: Clock,
        rng: random.Random,
        admission_policy: str,
        suspects: CrashSuspects | CrashTally,
        on_change: Callable[[], None],
        on_crash: Callable[[], None],
        response_rules: ResponseRules | None = None,
        used_share: float = 1.0,
        on_response_fault: Callable[[ResponseFault], None] = lambda _: None,
        *,
        is_restart: bool = False,
        limit_learner: LimitLearner | None = None,
        memory: MemoryAccount | None = None,
        max_connections: int = _DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        """Creates the state before the first announcement.

        Args:
            reactor: The Twisted reactor.
            clock: Time source.
            rng: Source of randomness.
            admission_policy: Name of a registered admission policy.
            suspects: Fingerprints of requests that may crash upstreams.
            on_change: Called when the upstream is announced, is announced with
                other properties or is withdrawn.
            on_crash: Called when the upstream no longer accepts connections,
                after its withdrawal.
            response_rules: How responses of the upstream are read.
            used_share: Share of the announced slots that this node uses.
            on_response_fault: Called with each fault in what the upstream
                sends.
            is_restart: Whether an earlier process of the node may have known a
                request rate of the upstream.
            limit_learner: Learns a concurrency limit below the used slots;
                None for none.
            memory: Account for large responses that are being read; None for
                no limit.
            max_connections: Most connections to the upstream.
        """
        self._on_response_fault = on_response_fault
        self._memory = memory
        self._max_connections = max_connections
        self._response_rules = response_rules
        self._reactor = reactor
        self._clock = clock
        self._on_change = on_change
        self._on_crash = on_crash
        self._last_heartbeat_s = 0.0
        self._identity: tuple[str, int] | None = None
        self.announcement: Announcement | None = None
        self.process: UpstreamProcess | None = None
        self.admission = AdmissionController(
            clock,
            rng,
            1,
            admission_policy,
            used_share,
            is_restart=is_restart,
            learner=limit_learner,
        )
        self.suspects = suspects

    @property
    def service(self) -> str:
        """Service of the upstream; empty if none is announced."""
        return self.announcement.service if self.announcement else ""

    @property
    def client(self) -> HttpClient | None:
        """HTTP client of `process`."""
        return self.process.client if self.process else None

    def accept_announcement(self, announcement: Announcement) -> None:
        """Registers the upstream, or renews its registration.

        Another instance, start, service or address replaces the connections.
        """
        self._last_heartbeat_s = self._clock.monotonic()
        known = self.announcement
        self.announcement = announcement
        address = (announcement.host, announcement.port)
        is_new = (
            known is None
            or known.instance != announcement.instance
            or known.started_ms != announcement.started_ms
            or known.service != announcement.service
            or self.client is None
            or self.client.address != address
        )
        if is_new:
            self._replace_process(announcement)
        if known is None or known.slots != announcement.slots or is_new:
            self.admission.set_slots(announcement.slots)
            if self.process is not None:
                self.process.client.max_connections = self._client_connections(
                    announcement
                )
            _LOG.info(
                "upstream announced",
                extra={
                    "service": announcement.service,
                    "address": f"{address[0]}:{address[1]}",
                    "slots": announcement.slots,
                },
            )
            self._on_change()

    def _client_connections(self, announcement: Announcement) -> int:
        return min(
            announcement.slots + _SPARE_CONNECTIONS, self._max_connections
        )

    def _replace_process(self, announcement: Announcement) -> None:
        if self.process is not None:
            self.process.client.close()
        identity = (announcement.instance, announcement.started_ms)
        if self._identity not in (None, identity):
            self.admission.stated_limit.reset()
        self._identity = identity
        client = HttpClient(
            self._reactor,
            announcement.host,
            announcement.port,
            self._client_connections(announcement),
            _MAX_RESPONSE_BYTES,
            self._response_rules,
            self._on_response_fault,
            uses_keep_alive=True,
            may_read_slowly=True,
            memory=self._memory,
        )
        self.process = UpstreamProcess(client)
        if announcement.cold_start_s > 0:
            self.admission.begin_cold_start(announcement.cold_start_s)

    def record_stated_limit(
        self,
        process: UpstreamProcess,
        stated_per_s: float | None,
        sent_at_s: float,
    ) -> None:
        """Applies the request rate that an answer states.

        Args:
            process: The process that answered; nothing follows if it has been
                replaced.
            stated_per_s: Requests per second, or None if the answer states
                none.
            sent_at_s: Monotonic time at which its request was sent.
        """
        limit = self.admission.stated_limit
        if process is self.process and limit.record_answer(
            stated_per_s, sent_at_s
        ):
            _LOG.info(
                "the request rate that the upstream takes has changed",
                extra={"service": self.service, "per_s": stated_per_s},
            )

    def handle_fault(
        self, process: UpstreamProcess, fault: RefusalReason
    ) -> None:
        """Withdraws the upstream if its address now belongs to another one.

        Args:
            process: The process to which the request was sent; nothing follows
                if it has been replaced.
            fault: Why its response was rejected.
        """
        if fault is RefusalReason.UPSTREAM_REPLACED and process is self.process:
            self.withdraw_announcement()

    def withdraw_announcement(self) -> None:
        """Stops sending new requests; running requests continue."""
        if self.announcement is None:
            return
        _LOG.info(
            "upstream withdrawn; it gets no new requests",
            extra={"service": self.service},
        )
        self.announcement = None
        self._on_change()

    def check_heartbeat(self) -> None:
        """Checks how old the last heartbeat is; to be called every second.

        An overloaded upstream may send its heartbeats late. After
        `HEARTBEAT_PROBE_S` it is therefore only probed, and withdrawn if it
        accepts no connection. After `HEARTBEAT_TIMEOUT_S` it is withdrawn in
        any case.
        """
        if self.announcement is None or self.process is None:
            return
        age_s = self._clock.monotonic() - self._last_heartbeat_s
        if age_s > HEARTBEAT_TIMEOUT_S:
            _LOG.warning(
                "upstream withdrawn: its heartbeats have stopped",
                extra={"age_s": age_s},
            )
            self.withdraw_announcement()
        elif age_s > HEARTBEAT_PROBE_S:
            self.probe(self.process, lambda _has_crashed: None)

    def probe(
        self, process: UpstreamProcess, done: Callable[[bool], None]
    ) -> None:
        """Checks whether a process of the upstream has crashed.

        A lost connection alone is no evidence of a crash, since a live upstream
        may close a connection at any time. A failed probe counts as a crash.
        Concurrent callers share one probe. A process that has been replaced is
        not probed: it has ended, but whether it crashed is not known.

        Args:
            process: The process whose connection was lost.
            done: Called with whether the process is known to have crashed.
        """
        if process is not self.process or process.has_crashed:
            done(process.has_crashed)
            return
        if not process.add_probe_waiter(done):
            return
        announcement = self.announcement
        if announcement is None:
            self._finish_probe(process, False)
            return
        self._reactor.connectTCP(
            announcement.host,
            announcement.port,
            _ProbeFactory(
                lambda is_accepting: self._finish_probe(process, is_accepting)
            ),
            timeout=_PROBE_TIMEOUT_S,
        )

    def _finish_probe(
        self, process: UpstreamProcess, is_accepting: bool
    ) -> None:
        if not is_accepting and process is self.process:
            process.has_crashed = True
            # Requests that wait for this crash must not start at the process.
            self.withdraw_announcement()
            self._on_crash()
        process.finish_probe()

    def close(self) -> None:
        """Closes the connections to the upstream."""
        if self.process is not None:
            self.process.client.close()
