"""The dispatchers' side of a node: their protocol, their connections and the listening socket.

- dispatcher: the load balancer that connects to the node, and sends it the requests of many clients.
- client: the sender of a request to the dispatcher; the field `via` has the number of the client.
- caller: the name of the field `via` in the settings of fair sharing.
- peer: another node of the same fleet, or the other side of any link.
"""
