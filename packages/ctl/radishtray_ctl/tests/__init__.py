"""Tests of radishtray_ctl."""
