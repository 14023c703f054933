"""The command line, which runs daemons and sends requests to front ends."""
