"""Adapters for the platform's store, host list and workers."""
