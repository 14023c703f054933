"""Tests of sassafrasgate.http."""
