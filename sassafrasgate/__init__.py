"""A cluster scheduler for unlike workloads."""
