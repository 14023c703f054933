"""The composition root, which builds and connects the tasks of daemons."""
