"""Settings of a node, read from flags and environment variables."""

import argparse
from collections.abc import Callable, Mapping, Sequence
from ipaddress import ip_address
from typing import Any

from expression import Error, Ok, Result

from radishtray_protocol import ClusterKeys
from radishtray_state import ADMISSION_POLICIES, SELECTION_POLICIES

ENVIRONMENT_PREFIX = "RADISHTRAY_"


class Setting:
    """Definition of one setting.

    Attributes:
        name: Name with underscores; the flag has hyphens.
        parse: Turns the text into a value; raises ValueError if it is not
            valid.
        default: Text used if the setting is absent; None if it is required.
        unit: Unit of the value, or an empty text.
        help: Description for the command line help.
    """

    __slots__ = ("default", "help", "name", "parse", "unit")

    def __init__(
        self,
        name: str,
        parse: Callable[[str], Any],
        default: str | None,
        unit: str,
        help: str,
    ) -> None:
        """Takes the attributes described above."""
        self.name = name
        self.parse = parse
        self.default = default
        self.unit = unit
        self.help = help

    @property
    def flag(self) -> str:
        """Name of the command line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


class SettingFinding:
    """A setting that is missing or not valid.

    Attributes:
        source: Flag or environment variable that the text came from.
        message: What is wrong with the text.
    """

    __slots__ = ("message", "source")

    def __init__(self, source: str, message: str) -> None:
        """Takes where the text came from and what is wrong with it."""
        self.source = source
        self.message = message

    def __str__(self) -> str:
        """Returns the finding as one line for operators."""
        return f"{self.source}: {self.message}"


def _parse_nonempty_text(text: str) -> str:
    if not text:
        raise ValueError("must not be empty")
    return text


def _parse_any_text(text: str) -> str:
    return text


def _parse_ip(text: str) -> str:
    return str(ip_address(text))


def _parse_port(text: str) -> int:
    port = int(text)
    if not 0 <= port < 65536:
        raise ValueError("must be within 0 and 65535")
    return port


def _parse_positive_integer(text: str) -> int:
    number = int(text)
    if number <= 0:
        raise ValueError("must be positive")
    return number


def _parse_duration_s(text: str) -> float:
    seconds = float(text)
    if not 0 < seconds < 86_400:
        raise ValueError("must be within 0 and 86400")
    return seconds


def _parse_token(text: str) -> str:
    if len(text) < 16:
        raise ValueError("must have at least 16 characters")
    return text


def _parse_cluster_keys(text: str) -> ClusterKeys:
    parsed = ClusterKeys.parse(text)
    if parsed.is_error():
        raise ValueError("; ".join(str(error) for error in parsed.error))
    return parsed.ok


def _parse_addresses(text: str) -> tuple[str, ...]:
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    for address in addresses:
        host, _, port = address.rpartition(":")
        ip_address(host)
        _parse_port(port)
    return addresses


def _choice_parser(choices: Sequence[str]) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"must be one of {', '.join(choices)}")
        return text

    return parse


SETTINGS: tuple[Setting, ...] = (
    Setting("node_id", _parse_nonempty_text, None, "", "Name of the node, unique in the fleet."),
    Setting("failure_domain", _parse_nonempty_text, None, "", "Failure domain of the VM."),
    Setting("address", _parse_ip, None, "", "IP address that other nodes connect to."),
    Setting("cluster_keys", _parse_cluster_keys, None, "", "Keys as id:hex,id:hex; the first signs, all verify."),
    Setting("cluster_keys_file", _parse_any_text, "", "", "File with the keys, read again on SIGHUP; replaces cluster-keys then."),
    Setting("operator_token", _parse_token, None, "", "Bearer token of the operators' API."),
    Setting("platform", _parse_nonempty_text, None, "", "Base URL of the platform's object API."),
    Setting("platform_token", _parse_any_text, "", "", "Bearer token for the platform's object API."),
    Setting("seeds", _parse_addresses, "", "", "Gossip addresses to try when the platform does not answer."),
    Setting("caller_host", _parse_ip, "0.0.0.0", "", "IP address of the caller listener."),
    Setting("caller_port", _parse_port, "8080", "", "TCP port of the caller listener; 0 chooses one."),
    Setting("upstream_port", _parse_port, "8081", "", "TCP port of the loopback listener for the upstream; 0 chooses one."),
    Setting("node_port", _parse_port, "8082", "", "TCP port for other nodes; 0 chooses one."),
    Setting("gossip_port", _parse_port, "8082", "", "UDP port for other nodes; 0 chooses one."),
    Setting("operator_host", _parse_ip, "127.0.0.1", "", "IP address of the operators' listener."),
    Setting("operator_port", _parse_port, "8083", "", "TCP port of the operators' listener; 0 chooses one."),
    Setting("max_body_bytes", _parse_positive_integer, "1048576", "bytes", "Longest body of a request."),
    Setting("max_head_bytes", _parse_positive_integer, "16384", "bytes", "Longest request line and headers together."),
    Setting("max_connections", _parse_positive_integer, "4096", "connections", "Most connections of the caller listener."),
    Setting("request_time", _parse_duration_s, "10", "s", "Time in which a caller must send a whole request."),
    Setting("idle_time", _parse_duration_s, "60", "s", "Time after which an idle caller connection is closed."),
    Setting("drain_time", _parse_duration_s, "30", "s", "Longest time that a graceful shutdown waits for running requests."),
    Setting("admission_policy", _choice_parser(sorted(ADMISSION_POLICIES)), "adaptive", "", "Admission policy; all but adaptive are for measurements."),
    Setting("selection_policy", _choice_parser(sorted(SELECTION_POLICIES)), "adaptive", "", "Selection policy; all but adaptive are for measurements."),
    Setting("retry_policy", _choice_parser(("budget", "per_hop")), "budget", "", "Retry policy; per_hop is a baseline for measurements without a bound."),
    Setting("log_level", _choice_parser(("debug", "info", "warning", "error")), "info", "", "Lowest level of log lines."),
)  # fmt: skip


class Settings:
    """Parsed values of all settings, each as an attribute of its name."""

    __slots__ = tuple(setting.name for setting in SETTINGS)

    def __init__(self, values: Mapping[str, Any]) -> None:
        """Takes one value for each setting.

        Raises:
            KeyError: If a value is missing.
        """
        for setting in SETTINGS:
            setattr(self, setting.name, values[setting.name])

    def __getattr__(self, name: str) -> Any:
        """Called only for names that are not a setting."""
        raise AttributeError(name)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="radishtray-node",
        description="Runs one node beside an upstream.",
        epilog="Each flag can also be given as an environment variable: "
        "--node-id is RADISHTRAY_NODE_ID. The flag wins.",
    )
    for setting in SETTINGS:
        unit = f" In {setting.unit}." if setting.unit else ""
        default = (
            "Required."
            if setting.default is None
            else f"Default: {setting.default or 'none'}."
        )
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar="TEXT",
            help=f"{setting.help}{unit} {default}",
        )
    return parser


def parse_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> Result[Settings, list[SettingFinding]]:
    """Reads and checks all settings.

    A flag takes precedence over the environment variable of the same setting.

    Args:
        arguments: Command line without the program's name.
        environment: Environment variables.

    Returns:
        The settings, or one finding for each setting that is missing or not
        valid.
    """
    flags = vars(build_parser().parse_args(arguments))
    values: dict[str, Any] = {}
    findings: list[SettingFinding] = []
    for setting in SETTINGS:
        source, text = setting.flag, flags[setting.name]
        if text is None and setting.variable in environment:
            source, text = setting.variable, environment[setting.variable]
        if text is None:
            text = setting.default
        if text is None:
            findings.append(
                SettingFinding(
                    setting.flag, f"is required (or {setting.variable})"
                )
            )
            continue
        try:
            values[setting.name] = setting.parse(text)
        except ValueError as error:
            findings.append(SettingFinding(source, str(error)))
    return Error(findings) if findings else Ok(Settings(values))
