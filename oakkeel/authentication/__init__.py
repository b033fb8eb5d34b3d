"""Messages between command line and agents: framed, and authenticated with a shared key."""
