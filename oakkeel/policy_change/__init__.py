"""Changes of a fleet's policy that take hold everywhere or nowhere. Free of I/O."""
