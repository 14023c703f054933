"""Logs, metrics and clocks."""
