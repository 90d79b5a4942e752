"""Messages and connections between processes."""
