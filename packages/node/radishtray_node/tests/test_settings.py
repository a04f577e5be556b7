"""Guards against findings that are missing, hard to locate or leak keys.

All faulty settings must be reported at once, each with the flag or environment
variable that it came from.
"""

import pytest

from radishtray_node._settings import SETTINGS, parse_settings

KEYS = "a:" + "11" * 16
# Text of each required setting.
VALID = {
    "node_id": "n",
    "failure_domain": "d",
    "address": "127.0.0.1",
    "cluster_keys": KEYS,
    "operator_token": "0123456789abcdef",
    "platform": "http://127.0.0.1:1",
}
REQUIRED = [s.name for s in SETTINGS if s.default is None]

# Name of the setting, text that is not valid, part of the expected message.
INVALID_SETTINGS = [
    ("node_id", "", "must not be empty"),
    ("address", "localhost", "'localhost'"),
    ("cluster_keys", "a:11,b", "16 bytes"),
    ("operator_token", "short", "at least 16"),
    ("seeds", "10.0.0.1:70000", "within 0 and 65535"),
    ("caller_port", "-1", "within 0 and 65535"),
    ("node_port", "http", "'http'"),
    ("max_body_bytes", "0", "must be positive"),
    ("request_time", "nan", "within 0 and 86400"),
    ("drain_time", "inf", "within 0 and 86400"),
    ("admission_policy", "best", "must be one of"),
    ("log_level", "loud", "must be one of debug"),
]


def flags(values: dict[str, str]) -> list[str]:
    return [
        part
        for name, text in values.items()
        for part in (f"--{name.replace('_', '-')}", text)
    ]


def variables(values: dict[str, str]) -> dict[str, str]:
    return {f"RADISHTRAY_{n.upper()}": text for n, text in values.items()}


@pytest.mark.parametrize("in_flags", [True, False])
def test_all_faults_are_found_at_once_with_their_sources(
    in_flags: bool,
) -> None:
    faulty = {name: text for name, text, _ in INVALID_SETTINGS}
    if in_flags:
        parsed = parse_settings(flags(faulty), variables(VALID))
        sources = [flag for flag in flags(faulty) if flag.startswith("--")]
    else:
        parsed = parse_settings([], variables(VALID | faulty))
        sources = list(variables(faulty))
    found = {finding.source: finding.message for finding in parsed.error}
    assert sorted(found) == sorted(sources)
    for (_, _, message), source in zip(INVALID_SETTINGS, sources, strict=True):
        assert message in found[source]


def test_every_missing_required_setting_is_named() -> None:
    findings = [str(finding) for finding in parse_settings([], {}).error]
    assert findings == [
        f"--{name.replace('_', '-')}: is required"
        f" (or RADISHTRAY_{name.upper()})"
        for name in REQUIRED
    ]
    assert sorted(REQUIRED) == sorted(VALID)


def test_a_flag_wins_over_its_variable_even_if_that_is_faulty() -> None:
    environment = variables(VALID | {"caller_port": "bad", "node_port": "7"})
    parsed = parse_settings(flags({"caller_port": "9"}), environment)
    settings = parsed.ok
    assert (settings.caller_port, settings.node_port) == (9, 7)
    assert settings.gossip_port == 8082


def test_key_material_is_in_no_finding() -> None:
    secret = "5ec7e7" * 4
    parsed = parse_settings([], variables(VALID | {"cluster_keys": secret}))
    assert secret not in "".join(map(str, parsed.error))
