"""Checks of the invariants from observed events, without imports of the code that they check."""
