"""Scheduling decisions of the scheduler daemon on one shard's jobs.

The jobs come from the product's own interface. The package performs no I/O,
reads no clock and encodes no messages: events go in and actions come out.
"""
