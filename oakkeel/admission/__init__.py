"""Every decision of an oakkeel node: the ladder, and fair shares within it."""

from oakkeel.admission.controller import MS, POLL_TOKEN, SECOND, AdmissionController, SlidingWindow, Stage

__all__ = ["MS", "POLL_TOKEN", "SECOND", "AdmissionController", "SlidingWindow", "Stage"]
