"""Placement decisions as pure functions: no I/O, no clock, no encoding."""
