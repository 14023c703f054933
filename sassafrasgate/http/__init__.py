"""HTTP interface for callers, operators and health checks."""
