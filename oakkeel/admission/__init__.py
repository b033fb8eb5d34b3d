"""Every decision of an oakkeel node: the ladder, and fair shares within it."""

from oakkeel.admission.controller import MS, POLL_TOKEN, SECOND, Keel, Ring, Stage

__all__ = ["MS", "POLL_TOKEN", "SECOND", "Keel", "Ring", "Stage"]
