"""Tests of radishtray_coordination."""
