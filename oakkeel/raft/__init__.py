"""Raft: a replicated log among a few replicas. Free of I/O except for `storage` and `write_counter`."""
