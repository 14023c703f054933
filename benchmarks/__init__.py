"""Benchmarks of scheduling decisions, components and whole cells."""
