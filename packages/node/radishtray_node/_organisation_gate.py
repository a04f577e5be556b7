"""Checks at the entry node which organisation a request belongs to."""

from collections.abc import Callable

from radishtray_organisations import (
    AllotmentLeases,
    FreshnessGuard,
    KeyRing,
    Organisation,
    TokenVerdict,
    TokenWait,
    parse_bearer,
)
from radishtray_protocol import Route, RouteTable
from radishtray_state import RefusalReason
from radishtray_transport import HttpRequest

AUTHORIZATION_HEADER = b"authorization"
TokenCallback = Callable[[TokenVerdict], None]


class CallerIdentity:
    """Whom a request belongs to.

    Attributes:
        organisation: Name of the organisation; empty for none.
        key_digest: Digest of the key that the request carried; empty for a
            request without a key.
        priority_class: Priority class of the organisation; None for that of
            the route.
        is_limited: Whether the request needs a token of an allotment.
    """

    __slots__ = ("is_limited", "key_digest", "organisation", "priority_class")

    def __init__(
        self,
        organisation: str = "",
        key_digest: bytes = b"",
        priority_class: int | None = None,
        *,
        is_limited: bool = False,
    ) -> None:
        """Stores the identity."""
        self.organisation = organisation
        self.key_digest = key_digest
        self.priority_class = priority_class
        self.is_limited = is_limited


ANONYMOUS = CallerIdentity()


class OrganisationGate:
    """Identifies callers by their keys and takes tokens for their requests.

    Without organisations in the configuration every request is anonymous.
    """

    __slots__ = ("_guard", "_keys", "_leases")

    def __init__(
        self, guard: FreshnessGuard | None, leases: AllotmentLeases
    ) -> None:
        """Starts without a configuration.

        Args:
            guard: Whether the configuration is recent enough to accept keys;
                None if withdrawn keys need not be refused by a node that does
                not hear of later configurations.
            leases: Tokens of the organisations' allotments.
        """
        self._guard = guard
        self._leases = leases
        self._keys = KeyRing()

    @property
    def has_organisations(self) -> bool:
        """Whether the configuration holds organisations."""
        return len(self._keys) > 0

    def apply(self, table: RouteTable) -> None:
        """Applies the organisations of a new configuration."""
        self._keys = table.keys

    def identify(
        self, http: HttpRequest, route: Route
    ) -> CallerIdentity | RefusalReason:
        """Returns whom a request belongs to, or why it is refused.

        Args:
            http: The request.
            route: Its route.
        """
        if not self.has_organisations:
            return ANONYMOUS
        key = parse_bearer(http.header(AUTHORIZATION_HEADER))
        found = None if key is None else self._keys.find(key)
        if found is None and not route.requires_key:
            return ANONYMOUS
        if not self._is_fresh:
            # A later configuration may hold a key that is unknown here.
            return RefusalReason.CONFIGURATION_STALE
        if found is None:
            return RefusalReason.UNAUTHENTICATED
        organisation, digest = found
        return CallerIdentity(
            organisation.name,
            digest,
            organisation.priority_class,
            is_limited=organisation.is_limited,
        )

    @property
    def _is_fresh(self) -> bool:
        return self._guard is None or self._guard.is_fresh

    def refusal_at_send(self, key_digest: bytes) -> RefusalReason | None:
        """Returns why a request must not be sent now, or None.

        Args:
            key_digest: Digest of its key; empty for a request without a key.
        """
        if not key_digest or not self.has_organisations:
            return None
        if not self._is_fresh:
            return RefusalReason.CONFIGURATION_STALE
        if not self._keys.holds(key_digest):
            return RefusalReason.UNAUTHENTICATED
        return None

    def holds(self, key_digest: bytes) -> bool:
        """Returns whether the configuration holds the key of a digest."""
        return self._keys.holds(key_digest)

    def acquire(
        self, identity: CallerIdentity, on_verdict: TokenCallback
    ) -> TokenWait | None:
        """Takes a token for a request; see `AllotmentLeases.acquire`."""
        return self._leases.acquire(identity.organisation, on_verdict)

    def release(self, identity: CallerIdentity, verdict: TokenVerdict) -> None:
        """Returns the token of a request that has not run."""
        self._leases.release(identity.organisation, verdict)

    def find_organisation(self, name: str) -> Organisation | None:
        """Returns an organisation of the configuration, or None."""
        return self._keys.get(name)
