"""Pure decisions about workflows: which task starts where, and when."""
