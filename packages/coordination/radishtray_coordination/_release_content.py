"""One generation of the configuration with its section texts."""

from collections.abc import Mapping

from expression import Error, Ok, Result

from radishtray_protocol import (
    Release,
    decode_release,
    section_digest,
    wire,
)


class ReleaseContent:
    """A release whose section texts are complete."""

    __slots__ = ("_texts", "manifest", "release")

    def __init__(
        self, manifest: bytes, release: Release, texts: Mapping[str, bytes]
    ) -> None:
        """Holds a complete generation.

        Args:
            manifest: JSON of `release/current`.
            release: The decoded manifest.
            texts: Section text by digest; more than needed is dropped.
        """
        self.manifest = manifest
        self.release = release
        needed = release.sections.values()
        self._texts = {digest: texts[digest] for digest in needed}

    @property
    def generation(self) -> int:
        """Number of the generation."""
        return self.release.generation

    @property
    def by_digest(self) -> Mapping[str, bytes]:
        """Section text by digest."""
        return self._texts

    def by_section(self) -> dict[str, str]:
        """Returns the section texts by section name.

        Raises:
            UnicodeDecodeError: If a text is not UTF-8.
        """
        return {
            name: self._texts[digest].decode()
            for name, digest in self.release.sections.items()
        }

    def push_for(self, have_generation: int) -> wire.ReleasePush:
        """Returns the answer to a pull, without texts the puller must have."""
        had = set((self.release.sections_at(have_generation) or {}).values())
        missing = {
            digest: text
            for digest, text in self._texts.items()
            if digest not in had
        }
        return wire.ReleasePush(self.generation, self.manifest, missing)


def take_push(
    push: wire.ReleasePush,
    above_generation: int,
    known: Mapping[str, bytes],
) -> Result[ReleaseContent, str]:
    """Checks a pushed release and completes it with known texts.

    Args:
        push: Answer to a pull.
        above_generation: Generation in effect; only higher ones are taken.
        known: Texts by digest that the node has.
    """
    decoded = decode_release(push.manifest, above_generation)
    if decoded.is_error():
        return Error(str(decoded.error))
    release = decoded.ok
    texts = dict(known)
    for digest, text in push.sections.items():
        if section_digest(text.decode(errors="replace")) != digest:
            return Error(f"section text {digest[:12]} has another digest")
        texts[digest] = text
    for name, digest in release.sections.items():
        if digest not in texts:
            return Error(f"section {name} is missing")
    return Ok(ReleaseContent(push.manifest, release, texts))
