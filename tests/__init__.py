"""Tests, which mirror the packages."""
