"""Tests of whole processes and of the daemon tasks."""
