"""What organisations use, summed over snapshots of the metrics of nodes."""

from collections import Counter
from collections.abc import Callable, Iterable
from math import isfinite
from typing import Any, Final

from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

_NODE_PREFIX: Final = "radishtray_"
_ANSWERED: Final = "answered"
# Organisations beyond those with the highest limits share this label.
_OTHERS: Final = "(others)"


class OrganisationUsage:
    """Limit, use and ages of keys of one organisation.

    Attributes:
        name: Name of the organisation.
        limits_per_s: Limits that nodes state, in requests per second. Several
            mean that nodes hold different versions of the configuration.
        answered: Requests that were answered.
        rejected: Rejected requests by reason.
        granted: Tokens that owners of the allotment granted.
        denied: Tokens that owners of the allotment denied.
        oldest_key_s: Age of the oldest key in seconds; None if unknown.
        newest_key_s: Age of the newest key in seconds; None if unknown.
    """

    __slots__ = (
        "answered",
        "denied",
        "granted",
        "limits_per_s",
        "name",
        "newest_key_s",
        "oldest_key_s",
        "rejected",
    )

    def __init__(self, name: str) -> None:
        """Creates a record without use."""
        self.name = name
        self.limits_per_s: set[float] = set()
        self.answered = 0
        self.rejected: Counter[str] = Counter()
        self.granted = 0
        self.denied = 0
        self.oldest_key_s: float | None = None
        self.newest_key_s: float | None = None

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON form for scripts."""
        return {
            "organisation": self.name,
            "limits_per_s": sorted(self.limits_per_s),
            "answered": self.answered,
            "rejected": dict(sorted(self.rejected.items())),
            "tokens_granted": self.granted,
            "tokens_denied": self.denied,
            "oldest_key_s": self.oldest_key_s,
            "newest_key_s": self.newest_key_s,
        }


_Reader = Callable[[OrganisationUsage, dict[str, str], float], None]
_READERS: Final[dict[str, _Reader]] = {}
"""Functions that add a sample to a record, by the name of the sample."""


def _register_reader(sample_name: str) -> Callable[[_Reader], _Reader]:
    def decorate(reader: _Reader) -> _Reader:
        _READERS[sample_name] = reader
        return reader

    return decorate


@_register_reader("radishtray_organisation_limit_per_second")
def _read_limit(
    usage: OrganisationUsage, _labels: dict[str, str], value: float
) -> None:
    usage.limits_per_s.add(value)


@_register_reader("radishtray_organisation_requests_total")
def _read_requests(
    usage: OrganisationUsage, labels: dict[str, str], value: float
) -> None:
    outcome = labels["outcome"]
    if outcome == _ANSWERED:
        usage.answered += int(value)
    else:
        usage.rejected[outcome] += int(value)


@_register_reader("radishtray_allotment_tokens")
def _read_tokens(
    usage: OrganisationUsage, labels: dict[str, str], value: float
) -> None:
    if labels["outcome"] == "granted":
        usage.granted += int(value)
    elif labels["outcome"] == "denied":
        usage.denied += int(value)


@_register_reader("radishtray_organisation_key_age_seconds")
def _read_key_age(
    usage: OrganisationUsage, labels: dict[str, str], value: float
) -> None:
    # A node that has just started knows all keys only since then, so the
    # largest age of all nodes is closest to the age of the key.
    if labels["key"] == "oldest":
        usage.oldest_key_s = max(value, usage.oldest_key_s or 0.0)
    elif labels["key"] == "newest":
        usage.newest_key_s = max(value, usage.newest_key_s or 0.0)


def read_snapshot(text: str) -> list[Sample]:
    """Returns the samples about organisations in a snapshot of one node.

    Args:
        text: Metrics in the text exposition format.

    Raises:
        ValueError: If the text is not such a snapshot.
    """
    is_from_node = False
    samples: list[Sample] = []
    for family in text_string_to_metric_families(text):
        is_from_node = is_from_node or family.name.startswith(_NODE_PREFIX)
        for sample in family.samples:
            if sample.name not in _READERS:
                continue
            if not (isfinite(sample.value) and sample.value >= 0):
                raise ValueError(f"{sample.name} is {sample.value}")
            samples.append(sample)
    if not is_from_node:
        raise ValueError("no metrics of a node")
    return samples


def sum_usage(samples: Iterable[Sample]) -> list[OrganisationUsage]:
    """Returns a record for each organisation, in the order of the names.

    Organisations that share one label come last.

    Raises:
        ValueError: If a sample lacks a label.
    """
    usages: dict[str, OrganisationUsage] = {}
    for sample in samples:
        try:
            name = sample.labels["organisation"]
            usage = usages.setdefault(name, OrganisationUsage(name))
            _READERS[sample.name](usage, sample.labels, sample.value)
        except KeyError as error:
            raise ValueError(f"{sample.name} lacks the label {error}") from None
    return sorted(usages.values(), key=lambda u: (u.name == _OTHERS, u.name))
