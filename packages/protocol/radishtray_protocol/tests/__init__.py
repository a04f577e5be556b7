"""Tests of radishtray_protocol."""
