"""Clients and HTTP interfaces of the users' platform, in the core types."""
