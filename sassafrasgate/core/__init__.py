"""Frozen data types and small helpers that every package shares."""
