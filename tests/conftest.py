"""Settings of hypothesis for all tests."""

from os import environ

from hypothesis import settings

# Each run uses the same examples, so that results are repeatable in CI. The
# other profile searches longer, with examples of its own in each run.
settings.register_profile('repeatable', derandomize=True, database=None)
settings.register_profile(
    'fresh', max_examples=5_000, database=None, deadline=None
)
settings.load_profile(environ.get('HYPOTHESIS_PROFILE', 'repeatable'))
