"""Translation of the users' platform into the product's own types."""
