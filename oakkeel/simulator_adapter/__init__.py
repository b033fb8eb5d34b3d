"""The adapter that lets the bench's simulated nodes be decided by `oakkeel.admission`."""
