"""Tests of radishtray_testing."""
