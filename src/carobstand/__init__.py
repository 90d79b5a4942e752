"""Distribution of model weights to many VMs, and routing of requests."""
