"""Tests of sassafrasgate.shards."""
