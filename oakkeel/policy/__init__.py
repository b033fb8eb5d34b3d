"""Every decision of an oakkeel node: the ladder, and fair shares within it."""

from oakkeel.policy.ladder import MS, POLL_TOKEN, SECOND, Keel, Ring, Stage

__all__ = ["MS", "POLL_TOKEN", "SECOND", "Keel", "Ring", "Stage"]
