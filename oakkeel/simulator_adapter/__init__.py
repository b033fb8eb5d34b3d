"""The adapter through which `oakkeel.admission` takes the decisions of the bench's simulated nodes."""
