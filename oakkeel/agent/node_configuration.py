"""What an agent reads of the configuration of a node."""

from __future__ import annotations

import json

from oakkeel.units import MS


def read_stop_after(config_path: str) -> int:
    """Return the nanoseconds from SIGTERM to SIGKILL in a node's configuration; 0 if it can't be read."""
    try:
        with open(config_path, encoding="utf-8") as file:
            return int(float(json.load(file)["stop_ms"]) * MS)
    except (OSError, ValueError, OverflowError, TypeError, KeyError):
        return 0
