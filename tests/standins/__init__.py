"""Programs that stand in for the platform's store and workers in tests."""
