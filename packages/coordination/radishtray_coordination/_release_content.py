"""One configuration generation: its manifest and its section texts."""

from collections.abc import Mapping

from expression import Error, Ok, Result

from radishtray_protocol import (
    Release,
    decode_release,
    section_digest,
    wire,
)


class ReleaseContent:
    """A release together with the text of each of its sections."""

    __slots__ = ("_texts_by_digest", "manifest", "release")

    def __init__(
        self, manifest: bytes, release: Release, texts: Mapping[str, bytes]
    ) -> None:
        """Keeps the texts that the release needs.

        Args:
            manifest: JSON content of the object `release/current`.
            release: The decoded manifest.
            texts: Section text by digest; texts of other releases are dropped.

        Raises:
            KeyError: If the text of a section is missing.
        """
        self.manifest = manifest
        self.release = release
        needed = release.sections.values()
        self._texts_by_digest = {digest: texts[digest] for digest in needed}

    @property
    def generation(self) -> int:
        """Generation number of the release."""
        return self.release.generation

    @property
    def texts_by_digest(self) -> Mapping[str, bytes]:
        """Section text by digest."""
        return self._texts_by_digest

    def texts_by_section(self) -> dict[str, str]:
        """Returns the section texts by section name.

        Raises:
            UnicodeDecodeError: If a text is not UTF-8.
        """
        return {
            name: self._texts_by_digest[digest].decode()
            for name, digest in self.release.sections.items()
        }

    def make_push(self, have_generation: int) -> wire.ReleasePush:
        """Returns the answer to a pull.

        It leaves out the texts of the generation that the puller has.

        Args:
            have_generation: Generation of the puller.
        """
        puller_digests = set(
            (self.release.sections_at(have_generation) or {}).values()
        )
        missing_texts = {
            digest: text
            for digest, text in self._texts_by_digest.items()
            if digest not in puller_digests
        }
        return wire.ReleasePush(self.generation, self.manifest, missing_texts)


def content_from_push(
    push: wire.ReleasePush,
    above_generation: int,
    known_texts: Mapping[str, bytes],
) -> Result[ReleaseContent, str]:
    """Checks a release from a peer and adds the texts that it leaves out.

    Args:
        push: Answer to a pull.
        above_generation: Generation in effect; only higher ones are accepted.
        known_texts: Section texts that the node has, by digest.

    Returns:
        The complete release, or what is wrong with the push.
    """
    decoded = decode_release(push.manifest, above_generation)
    if decoded.is_error():
        return Error(str(decoded.error))
    release = decoded.ok
    texts = dict(known_texts)
    for digest, text in push.sections.items():
        if section_digest(text.decode(errors="replace")) != digest:
            return Error(
                f"section text {digest[:12]} does not match its digest"
            )
        texts[digest] = text
    for name, digest in release.sections.items():
        if digest not in texts:
            return Error(f"text of section {name} is missing from the push")
    return Ok(ReleaseContent(push.manifest, release, texts))
