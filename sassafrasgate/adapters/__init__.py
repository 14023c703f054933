"""Clients of the project's own HTTP interfaces to the store and workers."""
