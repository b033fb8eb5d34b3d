"""Every decision of one oakkeel node: what it admits, rejects, runs, calls and tells its clients."""

from oakkeel.admission.controller import POLL_TOKEN, AdmissionController
from oakkeel.admission.overload import Stage
from oakkeel.admission.sliding_window import SlidingWindow

__all__ = ["POLL_TOKEN", "AdmissionController", "SlidingWindow", "Stage"]
