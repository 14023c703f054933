"""Settings of hypothesis for all tests."""

from hypothesis import settings

# Each run uses the same examples, so that results are repeatable in CI.
settings.register_profile('repeatable', derandomize=True, database=None)
settings.load_profile('repeatable')
