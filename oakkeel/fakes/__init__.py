"""Fakes of the peers of a node and an agent, for tests, the demo and measurements.

They are written from the public protocol page.
"""
