"""Benches and long runs; see section 16 of docs/design.md."""
