"""Measurements of the whole program: each prints its progress, and one last line with its result."""
