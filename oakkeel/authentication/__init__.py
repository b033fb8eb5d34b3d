"""Messages between command line and agent: framed, and authenticated with a shared key."""
