"""Drivers that join state machines, the platform and peers."""
