"""The dispatchers' side of a node: their protocol, their connections and the listening socket.

- dispatcher: the load balancer that connects to the node, and sends it the requests of many clients.
- client: who sent a request to the dispatcher and waits for its answer; known by a number in the field `via`.
- caller: in settings of fair sharing, the name of that field.
- peer: another node of the same fleet, or the other side of a link where it does not matter which it is.
"""
