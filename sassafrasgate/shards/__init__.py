"""Scheduling decisions of one shard, free of I/O, clocks and encoding."""
