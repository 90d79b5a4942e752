"""Benchmarks and soak tests; see section 16 of docs/design.md."""
