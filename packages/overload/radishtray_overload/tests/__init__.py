"""Tests of radishtray_overload."""
