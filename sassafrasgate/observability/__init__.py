"""Log lines, metrics and clocks of a process."""
