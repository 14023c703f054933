"""Settings of a process and the operators' declared configuration."""
