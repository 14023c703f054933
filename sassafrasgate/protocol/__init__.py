"""Messages and links between the processes of sassafrasgate."""
