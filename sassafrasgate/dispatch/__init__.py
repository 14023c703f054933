"""Scheduling decisions about workflows, without input or output.

The package decides which task starts on which worker, and when.
"""
