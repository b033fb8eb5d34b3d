"""A soak test of one node from outside: a drawn plan, stand-ins for its peers, and a record."""
