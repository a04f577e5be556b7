"""Tests of radishtray_node."""
