"""Releases: the plan of batches, the gates that compare versions, and the replicated steps. Free of I/O."""
