"""The side towards the dispatchers: their protocol, their connections, the listening socket."""
