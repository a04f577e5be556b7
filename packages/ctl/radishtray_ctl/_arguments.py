"""Command line and settings of radishtrayctl."""

import argparse
import getpass
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple

from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_transport import parse_base_url

_ENVIRONMENT_PREFIX: Final = "RADISHTRAY_"
_MAX_AUTHOR_CHARS: Final = 200


class NodeAddress(NamedTuple):
    """Where the operators' listener of a node is."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the text of the setting."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Setting:
    """A setting that comes from a flag or an environment variable."""

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
        """Describes the setting.

        Args:
            name: Name with underscores; the flag has hyphens.
            parse: Turns the text into a value or raises ValueError.
            default: Text if the setting is absent; None if it is required.
            help_text: What it is, with its unit.
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
        """The command line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return _ENVIRONMENT_PREFIX + self.name.upper()


def _split(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


def _base_urls(text: str) -> tuple[str, ...]:
    urls = _split(text)
    if not urls:
        raise ValueError("expected at least one URL")
    for url in urls:
        parse_base_url(url)
    return urls


def _seconds(text: str) -> float:
    seconds = float(text)
    if not 0 < seconds <= 600:
        raise ValueError("must be above 0 and at most 600 s")
    return seconds


def _author(text: str) -> str:
    author = text or getpass.getuser()
    if len(author) > _MAX_AUTHOR_CHARS or not author.isprintable():
        raise ValueError(f"expected at most {_MAX_AUTHOR_CHARS} characters")
    return author


def _token(text: str) -> str:
    if not text.isascii() or not text.isprintable() or " " in text:
        raise ValueError("expected printable ASCII without spaces")
    return text


def _node(text: str) -> NodeAddress:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"expected HOST:PORT, found {text!r}")
    return NodeAddress(host.strip("[]"), int(port))


def _nodes(text: str) -> tuple[NodeAddress, ...]:
    nodes = tuple(dict.fromkeys(_node(part) for part in _split(text)))
    if not nodes:
        raise ValueError("expected at least one HOST:PORT")
    return nodes


_TIMEOUT = Setting("timeout_s", _seconds, "5", "longest wait for one answer, s")
PLATFORM_SETTINGS: Final = (
    Setting(
        "platform",
        _base_urls,
        None,
        "http://IP:PORT of the platform's object API; a comma separates"
        " several, which are tried in turn",
    ),
    Setting("platform_token", _token, "", "bearer token of the object API"),
    _TIMEOUT,
)
AUTHOR_SETTINGS: Final = (
    Setting("author", _author, "", "name for the history; default: login name"),
)
_OPERATOR_TOKEN = Setting(
    "operator_token", _token, "", "bearer token of the operators' API"
)
NODE_SETTINGS: Final = (
    Setting("node", _node, None, "HOST:PORT of the node's operators' listener"),
    _OPERATOR_TOKEN,
    _TIMEOUT,
)
NODES_SETTINGS: Final = (
    Setting(
        "node",
        _nodes,
        None,
        "HOST:PORT of a node's operators' listener; may be repeated, and a"
        " comma separates several",
        is_repeatable=True,
    ),
    _OPERATOR_TOKEN,
    _TIMEOUT,
)


def read_settings(
    settings: Sequence[Setting],
    options: argparse.Namespace,
    environment: Mapping[str, str],
) -> None:
    """Replaces the texts in the options by checked values, all at once.

    Args:
        settings: The settings of the command.
        options: Parsed flags; a flag wins over its environment variable.
        environment: Environment variables.

    Raises:
        CommandError: With one line for each fault.
    """
    faults: list[str] = []
    for setting in settings:
        place, text = _find_text(setting, options, environment)
        if text is None:
            faults.append(f"{place}: is required (or {setting.variable})")
            continue
        try:
            setattr(options, setting.name, setting.parse(text))
        except ValueError as error:
            faults.append(f"{place}: {error}")
    if faults:
        raise CommandError(ExitCode.USAGE, "usage", "; ".join(faults))


def _find_text(
    setting: Setting,
    options: argparse.Namespace,
    environment: Mapping[str, str],
) -> tuple[str, str | None]:
    """Returns the place that holds a setting's text, and the text."""
    given = getattr(options, setting.name)
    if isinstance(given, list):
        return setting.flag, ",".join(given)
    if given is None and setting.variable in environment:
        return setting.variable, environment[setting.variable]
    return setting.flag, setting.default if given is None else given


class Command:
    """One command and what its parser needs."""

    __slots__ = ("add_arguments", "help", "name", "run", "settings")

    def __init__(
        self,
        name: str,
        help_text: str,
        run: Callable[..., Any],
        settings: Sequence[Setting],
        add_arguments: Callable[[argparse.ArgumentParser], None] | None,
    ) -> None:
        """Describes the command.

        Args:
            name: Words of the command, such as `config apply`.
            help_text: One sentence.
            run: Function that runs it.
            settings: Settings that it reads.
            add_arguments: Adds its own arguments, if it has any.
        """
        self.name = name
        self.help = help_text
        self.run = run
        self.settings = tuple(settings)
        self.add_arguments = add_arguments


COMMANDS: Final[dict[str, Command]] = {}


def command(
    name: str,
    help_text: str,
    *settings: Setting,
    arguments: Callable[[argparse.ArgumentParser], None] | None = None,
) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Registers the decorated function as a command.

    Args:
        name: Words of the command.
        help_text: One sentence.
        *settings: Settings that it reads.
        arguments: Adds its own arguments, if it has any.
    """

    def register(run: Callable[..., Any]) -> Callable[..., Any]:
        COMMANDS[name] = Command(name, help_text, run, settings, arguments)
        return run

    return register


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser with all registered commands."""
    parser = argparse.ArgumentParser(
        prog="radishtrayctl",
        description="Changes the configuration document and runs nodes.",
        epilog="Exit codes: 0 done; 1 findings or refused; 2 usage;"
        " 3 no answer or outcome unknown. Each setting can also be given as"
        " an environment variable: --platform-token is"
        " RADISHTRAY_PLATFORM_TOKEN. The flag wins.",
    )
    groups = {"": parser.add_subparsers(metavar="COMMAND", required=True)}
    for entry in COMMANDS.values():
        group, _, word = entry.name.rpartition(" ")
        if group not in groups:
            text = "check, change and show the configuration document"
            inner = groups[""].add_parser(group, help=text, description=text)
            groups[group] = inner.add_subparsers(
                metavar="COMMAND", required=True
            )
        sub = groups[group].add_parser(
            word, help=entry.help, description=entry.help
        )
        _add_arguments(sub, entry)
    return parser


def _add_arguments(parser: argparse.ArgumentParser, entry: Command) -> None:
    if entry.add_arguments is not None:
        entry.add_arguments(parser)
    for setting in entry.settings:
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
    parser.set_defaults(command=entry)
