"""Drivers that join state machines, the platform and peers."""

from radishtray_coordination._slot_driver import (
    ObjectStore,
    SlotDriver,
    StoredObject,
)

__all__ = ["ObjectStore", "SlotDriver", "StoredObject"]
