"""The entry: caller HTTP, routing, retries, planning."""
