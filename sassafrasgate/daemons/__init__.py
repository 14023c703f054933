"""Long-running tasks that own sockets and state and talk by messages."""
