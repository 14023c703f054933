"""Stand-ins for the platform, run as programs of their own."""
