"""The client of all agents of a fleet: fan-out with retries, last known status, order tracking."""
