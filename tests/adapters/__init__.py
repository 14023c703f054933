"""Tests of the store and worker clients against stand-in servers."""
