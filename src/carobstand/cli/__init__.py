"""Command-line programs for operators."""
