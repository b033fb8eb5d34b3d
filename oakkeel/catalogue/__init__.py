"""The links to the catalogue, the proxy in front of the next tier."""
