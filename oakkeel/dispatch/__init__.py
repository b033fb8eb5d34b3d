"""The dispatchers' side of a node: their protocol, their connections and the listening socket."""
