"""Metrics of organisations, with a bounded number of labels."""

from radishtray_node._metrics import Metrics
from radishtray_organisations import (
    AllotmentOwner,
    FreshnessGuard,
    KeyAges,
    KeyRing,
)

# Organisations with a label of their own, those with the highest limits; all
# others share one label.
_MAX_LABELS = 100
_OTHERS = "(others)"


class OrganisationMetrics:
    """Requests, limits and ages of keys of organisations."""

    __slots__ = ("_keys", "_labelled", "_metrics")

    def __init__(
        self,
        metrics: Metrics,
        guard: FreshnessGuard,
        owner: AllotmentOwner,
        key_ages: KeyAges,
    ) -> None:
        """Registers the metrics.

        Args:
            metrics: Metrics of this node.
            guard: Age of the configuration.
            owner: Allotments that this node owns.
            key_ages: Since when keys have been known.
        """
        self._metrics = metrics
        self._keys = KeyRing()
        self._labelled: frozenset[str] = frozenset()
        metrics.add_gauge(
            "radishtray_configuration_age_seconds",
            "Time since the configuration was known to be the latest one.",
            lambda: guard.age_s,
        )
        metrics.add_labelled_gauge(
            "radishtray_organisation_limit_per_second",
            "Requests per second that an organisation may send.",
            ("organisation",),
            lambda: [
                ((o.name,), o.rate_per_s)
                for o in self._keys
                if o.is_limited and o.name in self._labelled
            ],
        )
        metrics.add_labelled_gauge(
            "radishtray_organisation_key_age_seconds",
            "Time for which a key of an organisation has been known here.",
            ("organisation", "key"),
            lambda: [
                ((o.name, name), pick(ages))
                for o in self._keys
                if o.name in self._labelled
                and (ages := key_ages.ages_s(o.key_digests))
                for name, pick in (("oldest", max), ("newest", min))
            ],
        )
        metrics.add_labelled_gauge(
            "radishtray_allotment_tokens",
            "Tokens of the allotments that this node owns, since its start.",
            ("organisation", "outcome"),
            lambda: [
                ((name, outcome), float(count))
                for name, _, granted, denied in owner.usage()
                if name in self._labelled
                for outcome, count in (
                    ("granted", granted),
                    ("denied", denied),
                )
            ],
        )

    def apply(self, keys: KeyRing) -> None:
        """Applies the organisations of a new configuration."""
        self._keys = keys
        by_limit = sorted(keys, key=lambda o: (-o.rate_per_s, o.name))
        self._labelled = frozenset(o.name for o in by_limit[:_MAX_LABELS])

    def count(self, organisation: str, outcome: str) -> None:
        """Counts a request of an organisation."""
        label = organisation if organisation in self._labelled else _OTHERS
        self._metrics.organisation_requests.labels(label, outcome).inc()
