"""Measurements against plain baselines."""
