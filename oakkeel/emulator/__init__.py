"""Deterministic simulation of a fleet: runs the production decision logic in simulated time under faults."""
