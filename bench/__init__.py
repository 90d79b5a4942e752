"""Benches and long runs; see section 16 of the design page."""
