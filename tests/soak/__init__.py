"""Soak tests: check the guarantees of real processes under random faults."""
