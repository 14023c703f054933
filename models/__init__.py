"""Models of the core protocol for the explicit-state checker minicheck."""
