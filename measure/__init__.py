"""Measurement programs: each prints its progress, and its result as the last line."""
