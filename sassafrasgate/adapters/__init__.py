"""Adapters of the project's own HTTP interfaces to store and workers."""
