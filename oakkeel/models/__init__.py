"""Models of what must never happen, small enough for z3 to look at every case. The code is not in them."""
