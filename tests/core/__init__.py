"""Tests of sassafrasgate.core."""
