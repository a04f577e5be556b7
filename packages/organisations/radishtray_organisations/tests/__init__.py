"""Tests of radishtray_organisations."""
