"""Tests of sassafrasgate.placement."""
