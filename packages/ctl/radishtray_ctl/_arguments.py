"""Parses the command line and the settings of radishtrayctl.

Commands register themselves with `register_command`. A setting is read from
its flag, else from its environment variable, else from its default.
"""

import argparse
import getpass
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple

from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_transport import parse_base_url

_ENVIRONMENT_PREFIX: Final = "RADISHTRAY_"
_MAX_AUTHOR_CHARS: Final = 200


class NodeAddress(NamedTuple):
    """Host and port of the listener of a node's operators' API."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `HOST:PORT`, with brackets around an IPv6 host."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Setting:
    """A value that is given by a flag or an environment variable."""

    __slots__ = ("default", "help", "is_repeatable", "name", "parse")

    def __init__(
        self,
        name: str,
        parse: Callable[[str], Any],
        default: str | None,
        help_text: str,
        *,
        is_repeatable: bool = False,
    ) -> None:
        """Defines a setting.

        Args:
            name: Name with underscores, also the attribute of the parsed
                options; the flag has hyphens.
            parse: Converts the text into a value; raises ValueError if the
                text is invalid.
            default: Text to parse if the setting is not given; None if the
                setting is required.
            help_text: What the setting is, with its unit.
            is_repeatable: Whether the flag may occur several times; `parse`
                then gets the texts joined by commas.
        """
        self.name = name
        self.parse = parse
        self.default = default
        self.help = help_text
        self.is_repeatable = is_repeatable

    @property
    def flag(self) -> str:
        """The command line flag, such as `--timeout-s`."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable, such as `RADISHTRAY_TIMEOUT_S`."""
        return _ENVIRONMENT_PREFIX + self.name.upper()


def _split_list(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


def _parse_base_urls(text: str) -> tuple[str, ...]:
    urls = _split_list(text)
    if not urls:
        raise ValueError("expected at least one URL")
    for url in urls:
        parse_base_url(url)
    return urls


def _parse_timeout_s(text: str) -> float:
    seconds = float(text)
    if not 0 < seconds <= 600:
        raise ValueError("must be above 0 and at most 600 s")
    return seconds


def _parse_author(text: str) -> str:
    author = text or getpass.getuser()
    if len(author) > _MAX_AUTHOR_CHARS or not author.isprintable():
        raise ValueError(f"expected at most {_MAX_AUTHOR_CHARS} characters")
    return author


def _parse_token(text: str) -> str:
    if not text.isascii() or not text.isprintable() or " " in text:
        raise ValueError("expected printable ASCII without spaces")
    return text


def _parse_node_address(text: str) -> NodeAddress:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"expected HOST:PORT, found {text!r}")
    return NodeAddress(host.strip("[]"), int(port))


def _parse_node_addresses(text: str) -> tuple[NodeAddress, ...]:
    nodes = tuple(
        dict.fromkeys(_parse_node_address(part) for part in _split_list(text))
    )
    if not nodes:
        raise ValueError("expected at least one HOST:PORT")
    return nodes


_TIMEOUT_SETTING = Setting(
    "timeout_s", _parse_timeout_s, "5", "longest wait for one answer, s"
)
PLATFORM_SETTINGS: Final = (
    Setting(
        "platform",
        _parse_base_urls,
        None,
        "http://IP:PORT of the platform's object API; a comma separates"
        " several, which are tried in turn",
    ),
    Setting(
        "platform_token", _parse_token, "", "bearer token of the object API"
    ),
    _TIMEOUT_SETTING,
)
AUTHOR_SETTINGS: Final = (
    Setting(
        "author", _parse_author, "", "name for the history; default: login name"
    ),
)
_OPERATOR_TOKEN_SETTING = Setting(
    "operator_token", _parse_token, "", "bearer token of the operators' API"
)
SINGLE_NODE_SETTINGS: Final = (
    Setting(
        "node",
        _parse_node_address,
        None,
        "HOST:PORT of the node's operators' listener",
    ),
    _OPERATOR_TOKEN_SETTING,
    _TIMEOUT_SETTING,
)
MULTI_NODE_SETTINGS: Final = (
    Setting(
        "node",
        _parse_node_addresses,
        None,
        "HOST:PORT of a node's operators' listener; may be repeated, and a"
        " comma separates several",
        is_repeatable=True,
    ),
    _OPERATOR_TOKEN_SETTING,
    _TIMEOUT_SETTING,
)


def resolve_settings(
    settings: Sequence[Setting],
    options: argparse.Namespace,
    environment: Mapping[str, str],
) -> None:
    """Parses all settings of a command and stores the values in the options.

    Args:
        settings: The settings of the command.
        options: Parsed flags, whose texts are replaced by the values; a flag
            takes precedence over its environment variable.
        environment: Environment variables.

    Raises:
        CommandError: If settings are missing or invalid; the message lists
            all of them.
    """
    messages: list[str] = []
    for setting in settings:
        source, text = _find_setting_text(setting, options, environment)
        if text is None:
            messages.append(f"{source}: is required (or {setting.variable})")
            continue
        try:
            setattr(options, setting.name, setting.parse(text))
        except ValueError as error:
            messages.append(f"{source}: {error}")
    if messages:
        raise CommandError(ExitCode.USAGE, "usage", "; ".join(messages))


def _find_setting_text(
    setting: Setting,
    options: argparse.Namespace,
    environment: Mapping[str, str],
) -> tuple[str, str | None]:
    """Returns the flag or variable that gives a setting, and its text.

    The text is None if a required setting is not given.
    """
    flag_value = getattr(options, setting.name)
    if isinstance(flag_value, list):
        return setting.flag, ",".join(flag_value)
    if flag_value is None and setting.variable in environment:
        return setting.variable, environment[setting.variable]
    return setting.flag, setting.default if flag_value is None else flag_value


class Command:
    """A registered command, with its settings and arguments."""

    __slots__ = ("add_arguments", "help", "name", "run", "settings")

    def __init__(
        self,
        name: str,
        help_text: str,
        run: Callable[..., Any],
        settings: Sequence[Setting],
        add_arguments: Callable[[argparse.ArgumentParser], None] | None,
    ) -> None:
        """Defines a command.

        Args:
            name: Words of the command, such as `config apply`.
            help_text: Summary for the help output.
            run: Function that runs the command and returns its report.
            settings: Settings that the command reads.
            add_arguments: Adds the arguments that only this command has, if
                any, to its parser.
        """
        self.name = name
        self.help = help_text
        self.run = run
        self.settings = tuple(settings)
        self.add_arguments = add_arguments


COMMANDS: Final[dict[str, Command]] = {}
"""Registered commands by name."""


def register_command(
    name: str,
    help_text: str,
    *settings: Setting,
    add_arguments: Callable[[argparse.ArgumentParser], None] | None = None,
) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Registers the decorated function as a command.

    Args:
        name: Words of the command, such as `config apply`.
        help_text: Summary for the help output.
        *settings: Settings that the command reads.
        add_arguments: Adds the arguments that only this command has, if any,
            to its parser.
    """

    def decorate(run: Callable[..., Any]) -> Callable[..., Any]:
        COMMANDS[name] = Command(name, help_text, run, settings, add_arguments)
        return run

    return decorate


def build_parser() -> argparse.ArgumentParser:
    """Returns a parser that has a subparser for each registered command."""
    parser = argparse.ArgumentParser(
        prog="radishtrayctl",
        description="Changes the configuration document and runs nodes.",
        epilog="Exit codes: 0 done; 1 findings or refused; 2 usage;"
        " 3 no answer or outcome unknown. Each setting can also be given as"
        " an environment variable: --platform-token is"
        " RADISHTRAY_PLATFORM_TOKEN. The flag wins.",
    )
    groups = {"": parser.add_subparsers(metavar="COMMAND", required=True)}
    for command in COMMANDS.values():
        group_name, _, command_name = command.name.rpartition(" ")
        if group_name not in groups:
            group_help = "check, change and show the configuration document"
            group_parser = groups[""].add_parser(
                group_name, help=group_help, description=group_help
            )
            groups[group_name] = group_parser.add_subparsers(
                metavar="COMMAND", required=True
            )
        command_parser = groups[group_name].add_parser(
            command_name, help=command.help, description=command.help
        )
        _add_arguments(command_parser, command)
    return parser


def _add_arguments(parser: argparse.ArgumentParser, command: Command) -> None:
    if command.add_arguments is not None:
        command.add_arguments(parser)
    for setting in command.settings:
        default = f" (default: {setting.default})" if setting.default else ""
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar="TEXT",
            action="append" if setting.is_repeatable else "store",
            help=f"{setting.help}{default} [{setting.variable}]",
        )
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object"
    )
    parser.set_defaults(command=command)
