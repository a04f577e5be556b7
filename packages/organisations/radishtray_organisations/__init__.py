"""Organisations: their keys, and allotments that hold for the whole fleet.

The package has no I/O. Clocks, sources of randomness and functions that send
are passed in.
"""
