"""Tests of sassafrasgate.protocol."""
