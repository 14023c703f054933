"""A soak: real processes under random faults, and the promises checked."""
