"""Frozen data classes and helpers shared by all packages."""
