"""The protocol between sassafrasgate's own processes."""
