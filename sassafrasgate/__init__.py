"""A cluster scheduler for heterogeneous workloads."""
