"""Reads and writes the release and its section texts in the platform.

The object `release/current` lists the digest of each section. Each version of
a section text is an object of its own, whose name contains the digest.
"""

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

_MAX_TEXT_WRITE_ATTEMPTS = 3


class LoadedRelease:
    """The release in force, and the object version that it was read at."""

    __slots__ = ("release", "version")

    def __init__(self, release: Release | None, version: str) -> None:
        """Creates the record of a read release.

        Args:
            release: The release, or None if there is none yet.
            version: Version of the object `release/current`, the condition of
                the next update.
        """
        self.release = release
        self.version = version

    @property
    def generation(self) -> int:
        """Generation of the release, or 0 if there is no release yet."""
        return self.release.generation if self.release else 0

    @property
    def section_digests(self) -> dict[str, str]:
        """Digest by section name; empty if there is no release yet."""
        return dict(self.release.sections) if self.release else {}


class ReleaseStore:
    """Reads and writes the release and its section texts.

    Section texts are cached; they never change under the same digest.
    """

    __slots__ = ("_cached_texts", "_client")

    def __init__(self, client: PlatformClient) -> None:
        """Creates a store with an empty cache.

        Args:
            client: Client of the platform's object API.
        """
        self._client = client
        self._cached_texts: dict[tuple[str, str], str] = {}

    async def load_release(self) -> LoadedRelease:
        """Reads the release in force.

        Raises:
            CommandError: If the release cannot be read or decoded.
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

    async def read_texts(
        self, section_digests: Mapping[str, str]
    ) -> dict[str, str]:
        """Reads section texts.

        Args:
            section_digests: Digest by section name.

        Returns:
            Text by section name.

        Raises:
            CommandError: If a text is missing, cannot be read, or does not
                match its digest.
        """
        reads = [
            self._client.get(section_object_name(*key)).addCallback(
                self._cache_text, key
            )
            for key in section_digests.items()
            if key not in self._cached_texts
        ]
        try:
            await gatherResults(reads, consumeErrors=True)
        except FirstError as error:
            error.subFailure.raiseException()
        return {
            name: self._cached_texts[name, section_digests[name]]
            for name in section_digests
        }

    def _cache_text(
        self, result: Result[Any, Any], key: tuple[str, str]
    ) -> None:
        """Checks a text that was read against its digest and caches it.

        Args:
            result: Result of the read.
            key: Section name and digest.
        """
        object_name = section_object_name(*key)
        if result.is_error():
            if isinstance(result.error, NotFound):
                raise CommandError(
                    ExitCode.REFUSED, "corrupt", f"{object_name} is missing"
                )
            raise_platform_error(result.error)
        text = result.ok.value.decode(errors="replace")
        if section_digest(text) != key[1]:
            raise CommandError(
                ExitCode.REFUSED, "corrupt", f"{object_name} has another digest"
            )
        self._cached_texts[key] = text

    async def write_texts(self, sections: Iterable[tuple[str, str]]) -> None:
        """Writes section texts under their digests.

        Args:
            sections: Pairs of section name and text.

        Raises:
            CommandError: If a text could not be written. The release does not
                refer to the texts yet, so the configuration is unchanged.
        """
        for section, text in sections:
            digest = section_digest(text)
            await self._write_text_object(
                section_object_name(section, digest), text
            )
            self._cached_texts[section, digest] = text

    async def _write_text_object(self, object_name: str, text: str) -> None:
        """Creates the object of a section text unless it exists.

        A write of unknown outcome is repeated, since it is idempotent.
        """
        for _ in range(_MAX_TEXT_WRITE_ATTEMPTS):
            result = await self._client.put(
                object_name, text.encode(), if_version=ABSENT_VERSION
            )
            if result.is_ok() or isinstance(result.error, Conflict):
                # The name contains the digest, so an existing object holds the
                # same text.
                return
            if not isinstance(result.error, OutcomeUnknown):
                raise_platform_error(result.error)
        raise CommandError(
            ExitCode.UNREACHABLE,
            "unreachable",
            f"nothing was changed; {object_name}: {result.error.message}",
        )

    async def replace_release(
        self, loaded: LoadedRelease, release: Release
    ) -> Result[str, PlatformFault]:
        """Replaces the release if its object still has the version read.

        Args:
            loaded: The release that was read.
            release: The release that replaces it.

        Returns:
            The new version of the object, or why the write failed; `Conflict`
            if another writer came first.

        Raises:
            CommandError: If the release is too large for one object.
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
    """Raises the error of a failed read or of a write without effect."""
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
