"""Settings of a fleet, read from the operators' XML into frozen types; a node reads its own from JSON."""
