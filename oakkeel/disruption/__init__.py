"""Disruption permits, orders and leases: which targets may be out of service at one time. Free of I/O."""
