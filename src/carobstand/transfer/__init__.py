"""Transfer of weights between processes and from the origin."""
