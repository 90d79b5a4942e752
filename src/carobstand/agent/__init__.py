"""The agent process that runs on the VM of each backend server."""
