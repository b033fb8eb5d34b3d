"""The node process: start and shutdown, the `Host` of the admission controller, and request handling."""
