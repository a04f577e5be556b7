"""Interim discovery: members and configuration by polling the platform.

To be replaced by gossip membership and generation pulls between nodes; its
platform load grows with the fleet.
"""

import json
import logging
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from radishtray_node._object_store import ObjectStore
from radishtray_protocol import (
    RELEASE_OBJECT,
    decode_release,
    join_sections,
    parse_document,
    section_object,
)

_LOG = logging.getLogger(__name__)
_POLL_S = 1.0


class Directory:
    """Publishes this node's record and reads those of the others."""

    __slots__ = (
        "_application",
        "_is_busy",
        "_loop",
        "_published",
        "_release_version",
        "_store",
    )

    def __init__(self, application: Any, store: ObjectStore) -> None:
        """Joins the application and the platform."""
        self._application = application
        self._store = store
        self._published = b""
        self._release_version = 0
        self._is_busy = False
        self._loop = LoopingCall(self._poll)

    def start(self) -> None:
        """Starts polling."""
        self._loop.start(_POLL_S)

    def close(self) -> None:
        """Stops polling and closes the platform's connections."""
        if self._loop.running:
            self._loop.stop()
        self._store.close()

    def _poll(self) -> None:
        if self._is_busy:
            return
        self._is_busy = True
        done = Deferred.fromCoroutine(self._exchange())
        done.addErrback(lambda f: _LOG.warning("poll failed: %s", f))
        done.addBoth(lambda _: setattr(self, "_is_busy", False))

    async def _exchange(self) -> None:
        await self._publish()
        await self._read_members()
        await self._read_release()

    async def _publish(self) -> None:
        record = json.dumps(self._application.own_record()).encode()
        if record == self._published:
            return
        name = f"nodes/{self._application.identity.node_id}"
        found = await self._store.get(name)
        version = found.ok.version if found.is_ok() else None
        written = await self._store.put(name, record, version)
        if written.is_ok():
            self._published = record

    async def _read_members(self) -> None:
        listed = await self._store.list("nodes/")
        if listed.is_error():
            return
        records = []
        for item in listed.ok:
            found = await self._store.get(item.name)
            if found.is_ok():
                records.append(json.loads(found.ok.value))
        self._application.members_read(records)

    async def _read_release(self) -> None:
        found = await self._store.get(RELEASE_OBJECT)
        if found.is_error() or found.ok.version <= self._release_version:
            return
        release = decode_release(found.ok.value)
        if release.is_error():
            _LOG.error("release cannot be read: %s", release.error)
            return
        texts = {}
        for section, digest in release.ok.sections.items():
            text = await self._store.get(section_object(section, digest))
            if text.is_error():
                return
            texts[section] = text.ok.value.decode()
        document = parse_document({"release": join_sections(texts)})
        if document.is_error():
            _LOG.error("release has findings: %s", document.error)
            return
        self._release_version = found.ok.version
        self._application.apply_document(document.ok, release.ok.generation)
