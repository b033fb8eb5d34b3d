"""The links to the catalogue, a proxy before the next tier."""
