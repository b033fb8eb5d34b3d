"""The link to the engine, which owns the cores and runs the requests."""
