"""Fair sharing: heavy hitters, weighted max-min shares and reservations, in fixed memory and without I/O."""
