"""Framed messages between the command line and agents, authenticated with a shared key."""
