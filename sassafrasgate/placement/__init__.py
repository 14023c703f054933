"""Pure placement decisions: no I/O, no clock, no encoding."""
