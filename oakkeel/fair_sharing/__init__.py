"""Measures of who asks for how much, in fixed memory however many there are. Free of I/O."""
