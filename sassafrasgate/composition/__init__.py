"""The composition root: the one place where the parts are wired."""
