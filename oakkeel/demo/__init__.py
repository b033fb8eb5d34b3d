"""The demo: a small fleet on loopback."""
