"""Checks of promises from what is seen outside. Imports nothing of what it checks."""
