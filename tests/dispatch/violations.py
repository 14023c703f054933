"""The error that a simulated worker raises."""


class RuleViolation(AssertionError):
    """A worker has observed a violation of the rules."""
