"""Wire messages, document format and platform objects."""

from radishtray_protocol._cluster_keys import (
    MAX_KEY_ID_BYTES,
    TAG_BYTES,
    ClusterKeys,
    ClusterKeysError,
    ClusterKeysFault,
)

__all__ = [
    "MAX_KEY_ID_BYTES",
    "TAG_BYTES",
    "ClusterKeys",
    "ClusterKeysError",
    "ClusterKeysFault",
]
