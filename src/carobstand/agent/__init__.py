"""The agent beside each backend server."""
