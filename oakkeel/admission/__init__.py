"""Every decision of an oakkeel node: admission, and fair shares within it."""

from oakkeel.admission.controller import POLL_TOKEN, AdmissionController
from oakkeel.admission.overload import Stage
from oakkeel.admission.sliding_window import SlidingWindow

__all__ = ["MS", "POLL_TOKEN", "SECOND", "AdmissionController", "SlidingWindow", "Stage"]
