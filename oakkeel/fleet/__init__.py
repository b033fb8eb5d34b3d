"""The client of all agents of a fleet: retries, the last known status, and the tracking of orders."""
