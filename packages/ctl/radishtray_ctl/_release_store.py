"""The release and its section texts in the platform."""

from collections.abc import Iterable, Mapping
from typing import Any, NoReturn

from expression import Result
from twisted.internet.defer import FirstError, gatherResults

from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_protocol import (
    RELEASE_OBJECT,
    Release,
    decode_release,
    section_digest,
    section_object_name,
)
from radishtray_transport import (
    ABSENT_VERSION,
    Conflict,
    NotFound,
    OutcomeUnknown,
    PlatformClient,
    PlatformFault,
    Rejected,
)

_WRITE_ATTEMPTS = 3


class LoadedRelease:
    """The release in force and the version of its object."""

    __slots__ = ("release", "version")

    def __init__(self, release: Release | None, version: str) -> None:
        """Holds what was read.

        Args:
            release: The release, or None if there is none yet.
            version: Version of `release/current`.
        """
        self.release = release
        self.version = version

    @property
    def generation(self) -> int:
        """The generation, or 0 if there is no release yet."""
        return self.release.generation if self.release else 0

    @property
    def sections(self) -> dict[str, str]:
        """Digest by section name."""
        return dict(self.release.sections) if self.release else {}


class ReleaseStore:
    """Reads and writes the objects of the configuration."""

    __slots__ = ("_client", "_texts")

    def __init__(self, client: PlatformClient) -> None:
        """Uses a client.

        Args:
            client: Client of the platform.
        """
        self._client = client
        self._texts: dict[tuple[str, str], str] = {}

    async def load(self) -> LoadedRelease:
        """Reads the release in force.

        Raises:
            CommandError: If the platform gives no answer.
        """
        result = await self._client.get(RELEASE_OBJECT)
        if result.is_error():
            if isinstance(result.error, NotFound):
                return LoadedRelease(None, ABSENT_VERSION)
            raise_platform_error(result.error)
        decoded = decode_release(result.ok.value)
        if decoded.is_error():
            raise CommandError(
                ExitCode.REFUSED,
                "corrupt",
                f"{RELEASE_OBJECT}: {decoded.error}",
            )
        return LoadedRelease(decoded.ok, result.ok.version)

    async def texts(self, sections: Mapping[str, str]) -> dict[str, str]:
        """Reads section texts.

        Args:
            sections: Digest by section name.

        Raises:
            CommandError: If a text is missing, altered or not readable.
        """
        reads = [
            self._client.get(section_object_name(*key)).addCallback(
                self._keep_text, key
            )
            for key in sections.items()
            if key not in self._texts
        ]
        try:
            await gatherResults(reads, consumeErrors=True)
        except FirstError as error:
            error.subFailure.raiseException()
        return {name: self._texts[name, sections[name]] for name in sections}

    def _keep_text(
        self, result: Result[Any, Any], key: tuple[str, str]
    ) -> None:
        name = section_object_name(*key)
        if result.is_error():
            if isinstance(result.error, NotFound):
                raise CommandError(
                    ExitCode.REFUSED, "corrupt", f"{name} is missing"
                )
            raise_platform_error(result.error)
        text = result.ok.value.decode(errors="replace")
        if section_digest(text) != key[1]:
            raise CommandError(
                ExitCode.REFUSED, "corrupt", f"{name} has another digest"
            )
        self._texts[key] = text

    async def put_texts(self, sections: Iterable[tuple[str, str]]) -> None:
        """Writes section texts under their digests.

        Args:
            sections: Section names and texts.

        Raises:
            CommandError: If a text could not be written; nothing is in
                effect then.
        """
        for section, text in sections:
            digest = section_digest(text)
            await self._put_text(section_object_name(section, digest), text)
            self._texts[section, digest] = text

    async def _put_text(self, name: str, text: str) -> None:
        for _ in range(_WRITE_ATTEMPTS):
            result = await self._client.put(
                name, text.encode(), if_version=ABSENT_VERSION
            )
            if result.is_ok() or isinstance(result.error, Conflict):
                return  # A conflict means that the same text is there.
            if not isinstance(result.error, OutcomeUnknown):
                raise_platform_error(result.error)
        raise CommandError(
            ExitCode.UNREACHABLE,
            "unreachable",
            f"nothing was changed; {name}: {result.error.message}",
        )

    async def replace(
        self, loaded: LoadedRelease, release: Release
    ) -> Result[str, PlatformFault]:
        """Replaces the release that was read.

        Args:
            loaded: What was read.
            release: The release to follow it.

        Raises:
            CommandError: If the release is too long for one object.
        """
        try:
            value = release.encode()
        except ValueError as error:
            raise CommandError(
                ExitCode.REFUSED, "too_large", str(error)
            ) from error
        result: Result[str, PlatformFault] = await self._client.put(
            RELEASE_OBJECT, value, if_version=loaded.version
        )
        return result


def raise_platform_error(fault: PlatformFault) -> NoReturn:
    """Raises the error of a command for a fault without effect."""
    if isinstance(fault, Rejected):
        raise CommandError(
            ExitCode.REFUSED,
            "rejected",
            f"the platform answered {fault.status}: {fault.message}",
        )
    raise CommandError(
        ExitCode.UNREACHABLE,
        "unreachable",
        f"the platform is not reachable: {fault.message}",
    )
