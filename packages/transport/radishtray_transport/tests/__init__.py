"""Tests of radishtray_transport."""
