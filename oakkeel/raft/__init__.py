"""What the agents agree on: a replicated log among a few keepers. Free of I/O but for `kept`."""
