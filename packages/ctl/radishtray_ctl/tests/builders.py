"""Builders of snapshots of the metrics of nodes."""


def build_snapshot(*samples: str) -> str:
    """Builds a snapshot of a node from samples without the common prefix."""
    lines = [
        "# HELP radishtray_attempts_total First attempts.",
        "# TYPE radishtray_attempts_total counter",
        "radishtray_attempts_total 7.0",
        *(f"radishtray_{sample}" for sample in samples),
    ]
    return "".join(f"{line}\n" for line in lines)


def build_requests(organisation: str, **counts: int) -> list[str]:
    """Builds the samples of an organisation's requests by outcome."""
    return [
        f'organisation_requests_total{{organisation="{organisation}",'
        f'outcome="{outcome}"}} {count}.0'
        for outcome, count in counts.items()
    ]


def build_tokens(organisation: str, granted: int, denied: int) -> list[str]:
    """Builds the samples of an allotment at its owner."""
    return [
        f'allotment_tokens{{organisation="{organisation}",'
        f'outcome="{outcome}"}} {count}.0'
        for outcome, count in (("granted", granted), ("denied", denied))
    ]


def build_limit(organisation: str, limit: float) -> str:
    """Builds the sample of an organisation's limit."""
    return (
        f'organisation_limit_per_second{{organisation="{organisation}"}}'
        f" {limit}"
    )


def build_key_ages(organisation: str, oldest: float, newest: float) -> str:
    """Builds the samples of the ages of an organisation's keys."""
    name = f'organisation_key_age_seconds{{organisation="{organisation}"'
    return (
        f'{name},key="oldest"}} {oldest}\n'
        f'radishtray_{name},key="newest"}} {newest}'
    )
