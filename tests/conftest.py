"""Settings for all tests."""

from hypothesis import settings

# The same examples in each run, so that CI gives the same verdict.
settings.register_profile('repeatable', derandomize=True, database=None)
settings.load_profile('repeatable')
