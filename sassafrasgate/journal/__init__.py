"""A shard's journal in the platform's store."""
