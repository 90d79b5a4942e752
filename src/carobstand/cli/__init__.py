"""Operator programs."""
