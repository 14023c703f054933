"""The command line: daemons, declarations and calls to a front end."""
