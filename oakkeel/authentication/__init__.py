"""Messages between command line and agent: framed, and marked with a key that both hold."""
