"""Releases over the fleet: plan, gates and steps, as the record holds them. Free of I/O."""
