"""Tests of radishtray_state."""
