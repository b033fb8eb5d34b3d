"""The control link between an agent and its node: status reports and orders, on a Unix socket."""
