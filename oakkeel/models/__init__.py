"""Models of the rules for z3, which checks every case of a small model."""
