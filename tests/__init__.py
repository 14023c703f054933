"""Tests, laid out like the packages that they test."""
