"""Tests of sassafrasgate.observability."""
