"""Tests of sassafrasgate.platform."""
