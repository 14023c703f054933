"""Decisions of an entry host that owns the users' shard of workflows.

The package decides which task starts on which worker, and when. It does no
input or output: `transitions.decide` takes an event and returns the actions
to carry out. Its counterpart `sassafrasgate.shards` makes the decisions of
the scheduler daemon about jobs of the product's own interface.
"""
