"""Settings of a fleet, read from the operators' XML file. Each node reads its settings from a JSON file."""
