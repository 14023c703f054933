"""Pure decisions of a shard: no I/O, no clock, no encoding."""
