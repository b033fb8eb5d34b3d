"""The link to the engine, which owns the cores and does the work."""
