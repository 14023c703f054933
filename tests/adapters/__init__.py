"""Tests of the adapters against the stand-ins."""
