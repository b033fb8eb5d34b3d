"""The node: what starts and ends it, the `Host` of its decisions, and the life of a request."""
